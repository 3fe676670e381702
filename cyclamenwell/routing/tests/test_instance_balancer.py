"""Choice of an instance by load reports, penalties and distance."""

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.routing.tests import builders

State = enumerations.InstanceState
Kind = enumerations.ErrorKind
SECOND = clock.Milliseconds(1000)


def build_names(count):
    return [f"billing-{number}" for number in range(count)]


def test_loaded_instance_gets_little():
    """Guards against one slow instance that delays all callers."""
    fixture = builders.build_fixture({"dc-a": build_names(10)})
    for name in build_names(10):
        fixture.report(name, in_progress=5)
    fixture.report("billing-3", in_progress=90)
    assert fixture.draw()["billing-3"] < 30


def test_own_outstanding_calls_count_before_any_report():
    """Guards against many calls to an instance that never answers."""
    fixture = builders.build_fixture({"dc-a": build_names(5)})
    for _ in range(200):
        name = fixture.balancer.choose(
            "billing", builders.NONE_EXCLUDED, ()
        ).instance
        fixture.tracker.begin(name)
        if name != "billing-2":
            fixture.tracker.end(name, None)
    assert fixture.tracker.count_outstanding("billing-2") <= 3


def test_old_report_loses_its_weight():
    """Guards against avoiding an instance because of an outdated report."""
    fixture = builders.build_fixture({"dc-a": build_names(2)})
    fixture.report("billing-0", in_progress=90)
    fixture.report("billing-1", in_progress=0)
    assert fixture.draw()["billing-0"] < 50
    fixture.time.advance(SECOND * 6)
    assert fixture.draw()["billing-0"] > 300


@pytest.mark.parametrize("state", [State.LEAVING, State.GONE, State.STARTING])
def test_instance_that_does_not_serve_gets_nothing(state):
    """Guards against a delayed list that overrides an instance's report."""
    fixture = builders.build_fixture({"dc-a": build_names(3)})
    fixture.report("billing-1", state=state)
    assert fixture.draw()["billing-1"] == 0


def test_refused_connection_stops_calls_except_probes():
    """Guards against a failed attempt for each call while one is down."""
    fixture = builders.build_fixture({"dc-a": build_names(3)})
    fixture.refuse("billing-1", Kind.PEER_UNREACHABLE)
    assert fixture.draw()["billing-1"] < 50
    fixture.time.advance(SECOND * 2)
    assert fixture.draw()["billing-1"] > 200


def test_penalty_of_overload_decays_and_ends_with_an_answer():
    """Guards against penalties of overload that are too weak or too long."""
    fixture = builders.build_fixture({"dc-a": build_names(3)})
    fixture.refuse("billing-1", Kind.OVERLOADED)
    shares = []
    for _ in range(3):
        shares.append(fixture.draw()["billing-1"])
        fixture.time.advance(clock.Milliseconds(450))
    assert shares[0] < 50
    assert shares[0] < shares[1] < shares[2] + 50
    assert fixture.draw()["billing-1"] > 250
    fixture.refuse("billing-1", Kind.OVERLOADED)
    fixture.tracker.begin("billing-1")
    fixture.tracker.end("billing-1", None)
    assert fixture.draw()["billing-1"] > 250


def test_cold_instance_gets_little_while_others_are_idle():
    """Guards against a full share of the load for a cold target."""
    fixture = builders.build_fixture({"dc-a": build_names(5)})
    for name in build_names(5):
        fixture.report(name, in_progress=10)
    fixture.report("billing-4", limit=4, cold=True)
    assert fixture.draw()["billing-4"] < 100


def test_distant_tier_is_used_only_under_overload():
    """Guards against needless distant calls and an overloaded near tier.

    The order of tiers is the data centre, the region, and all others.
    """
    names_by_data_centre = {
        "dc-a": ["billing-a1", "billing-a2"],
        "dc-b": ["billing-b1", "billing-b2"],
        "dc-z": ["billing-z1"],
    }
    fixture = builders.build_fixture(
        names_by_data_centre, regions={"dc-z": "r-9"}
    )
    assert set(fixture.draw()) == set(names_by_data_centre["dc-a"])
    for name in names_by_data_centre["dc-a"]:
        fixture.report(name, in_progress=100, queued=20)
    assert set(fixture.draw()) == set(names_by_data_centre["dc-b"])
    for name in names_by_data_centre["dc-b"]:
        fixture.report(name, in_progress=100, queued=20)
    assert set(fixture.draw()) == {"billing-z1"}


def test_excluded_data_centre_gets_nothing_and_returns_by_slow_start():
    """Guards against calls to an excluded data centre and a sudden return."""
    names_by_data_centre = {
        "dc-a": build_names(3),
        "dc-b": ["billing-b1", "billing-b2"],
    }
    fixture = builders.build_fixture(names_by_data_centre)
    excluded = frozenset({"dc-a"})
    assert set(fixture.draw(excluded=excluded)) == set(
        names_by_data_centre["dc-b"]
    )
    fixture.tiers.exclude_data_centres(builders.NONE_EXCLUDED)
    shares = []
    for _ in range(3):
        drawn = fixture.draw(2000)
        shares.append(
            sum(drawn[name] for name in names_by_data_centre["dc-a"]) / 2000
        )
        fixture.time.advance(SECOND * 15)
    assert shares[0] == pytest.approx(0.1, abs=0.03)
    assert shares[1] == pytest.approx(0.55, abs=0.05)
    assert shares[2] == 1.0


def test_distant_data_centre_returns_by_slow_start():
    """Guards against a distant data centre without slow start."""
    names_by_data_centre = {"dc-b": ["billing-b1"], "dc-c": ["billing-c1"]}
    fixture = builders.build_fixture(names_by_data_centre)
    fixture.draw(1, excluded=frozenset({"dc-c"}))
    fixture.tiers.exclude_data_centres(builders.NONE_EXCLUDED)
    assert fixture.draw(2000)["billing-c1"] < 400


def test_own_target_is_preferred_unless_busier():
    """Guards against needless hops and against an overloaded own target."""
    fixture = builders.build_fixture(
        {"dc-a": build_names(4)}, own_instance="billing-0"
    )
    assert fixture.draw()["billing-0"] == 1000
    for name in build_names(4):
        fixture.report(name, in_progress=20)
    fixture.own["load"] = builders.build_report("billing-0", in_progress=50)
    assert fixture.draw()["billing-0"] == 0
    fixture.own["load"] = builders.build_report(
        "billing-0", state=State.LEAVING
    )
    assert fixture.draw()["billing-0"] == 0


def test_only_instance_is_tried_again_after_a_pause():
    """Guards against refusing for seconds after a short outage."""
    fixture = builders.build_fixture({"dc-a": ["billing-0"]})
    fixture.refuse("billing-0", Kind.TARGET_UNREACHABLE)
    fixture.time.advance(clock.Milliseconds(100))
    assert fixture.draw(5)["billing-0"] == 5


def test_no_instance_is_refused_with_a_time_to_retry():
    """Guards against two attempts of a request at the same instance."""
    fixture = builders.build_fixture({"dc-a": ["billing-0"]})
    with pytest.raises(exceptions.RefusedError) as caught:
        fixture.draw(1, tried=("billing-0",))
    assert caught.value.kind is Kind.NO_INSTANCE
    assert caught.value.retry_after > clock.ZERO

"""Choosing an instance from reports, refusals and distance."""

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.routing.tests import builders

State = enumerations.InstanceState
Kind = enumerations.ErrorKind
SECOND = clock.Milliseconds(1000)


def name_many(count):
    return [f"billing-{number}" for number in range(count)]


def test_loaded_instance_gets_little():
    """Guards against one slow instance dragging all callers."""
    setting = builders.build_setting({"dc-a": name_many(10)})
    for name in name_many(10):
        setting.report(name, in_progress=5)
    setting.report("billing-3", in_progress=90)
    assert setting.draw()["billing-3"] < 30


def test_own_outstanding_calls_count_before_any_report():
    """Guards against piling calls on an instance that never answers."""
    setting = builders.build_setting({"dc-a": name_many(5)})
    for _ in range(200):
        name = setting.chooser.choose("billing", builders.ALL_IN, ()).instance
        setting.tracker.begin(name)
        if name != "billing-2":
            setting.tracker.end(name, None)
    assert setting.tracker.count_outstanding("billing-2") <= 3


def test_old_report_loses_its_weight():
    """Guards against avoiding an instance for a load that has passed."""
    setting = builders.build_setting({"dc-a": name_many(2)})
    setting.report("billing-0", in_progress=90)
    setting.report("billing-1", in_progress=0)
    assert setting.draw()["billing-0"] < 50
    setting.time.advance(SECOND * 6)
    assert setting.draw()["billing-0"] > 300


@pytest.mark.parametrize("state", [State.LEAVING, State.GONE, State.STARTING])
def test_instance_that_does_not_serve_gets_nothing(state):
    """Guards against trusting the lagging list over an instance's own word."""
    setting = builders.build_setting({"dc-a": name_many(3)})
    setting.report("billing-1", state=state)
    assert setting.draw()["billing-1"] == 0


def test_refused_connection_keeps_calls_away_but_for_probes():
    """Guards against each call paying for a dead instance again."""
    setting = builders.build_setting({"dc-a": name_many(3)})
    setting.refuse("billing-1", Kind.PEER_UNREACHABLE)
    assert setting.draw()["billing-1"] < 50
    setting.time.advance(SECOND * 2)
    assert setting.draw()["billing-1"] > 200


def test_penalty_of_overload_decays_and_ends_with_an_answer():
    """Guards against both hammering and forgetting an overloaded instance."""
    setting = builders.build_setting({"dc-a": name_many(3)})
    setting.refuse("billing-1", Kind.OVERLOADED)
    shares = []
    for _ in range(3):
        shares.append(setting.draw()["billing-1"])
        setting.time.advance(clock.Milliseconds(450))
    assert shares[0] < 50
    assert shares[0] < shares[1] < shares[2] + 50
    assert setting.draw()["billing-1"] > 250
    setting.refuse("billing-1", Kind.OVERLOADED)
    setting.tracker.begin("billing-1")
    setting.tracker.end("billing-1", None)
    assert setting.draw()["billing-1"] > 250


def test_cold_instance_gets_little_while_others_are_idle():
    """Guards against an even share of load for a cold target."""
    setting = builders.build_setting({"dc-a": name_many(5)})
    for name in name_many(5):
        setting.report(name, in_progress=10)
    setting.report("billing-4", limit=4, cold=True)
    assert setting.draw()["billing-4"] < 100


def test_near_data_centre_is_left_only_when_overloaded():
    """Guards against distant calls without need, and against a full near one.

    The next distance is the region, then anywhere.
    """
    places = {
        "dc-a": ["billing-a1", "billing-a2"],
        "dc-b": ["billing-b1", "billing-b2"],
        "dc-z": ["billing-z1"],
    }
    setting = builders.build_setting(places, regions={"dc-z": "r-9"})
    assert set(setting.draw()) == set(places["dc-a"])
    for name in places["dc-a"]:
        setting.report(name, in_progress=100, queued=20)
    assert set(setting.draw()) == set(places["dc-b"])
    for name in places["dc-b"]:
        setting.report(name, in_progress=100, queued=20)
    assert set(setting.draw()) == {"billing-z1"}


def test_data_centre_taken_out_gets_nothing_and_returns_slowly():
    """Guards against new work for it, and against full load on its return."""
    places = {"dc-a": name_many(3), "dc-b": ["billing-b1", "billing-b2"]}
    setting = builders.build_setting(places)
    out = frozenset({"dc-a"})
    assert set(setting.draw(out=out)) == set(places["dc-b"])
    setting.tiers.note_out(builders.ALL_IN)
    shares = []
    for _ in range(3):
        drawn = setting.draw(2000)
        shares.append(sum(drawn[name] for name in places["dc-a"]) / 2000)
        setting.time.advance(SECOND * 15)
    assert shares[0] == pytest.approx(0.1, abs=0.03)
    assert shares[1] == pytest.approx(0.55, abs=0.05)
    assert shares[2] == 1.0


def test_returning_data_centre_far_away_gets_its_part_only():
    """Guards against the ramp of a distant data centre being skipped."""
    places = {"dc-b": ["billing-b1"], "dc-c": ["billing-c1"]}
    setting = builders.build_setting(places)
    setting.draw(1, out=frozenset({"dc-c"}))
    setting.tiers.note_out(builders.ALL_IN)
    assert setting.draw(2000)["billing-c1"] < 400


def test_own_target_is_preferred_unless_busier():
    """Guards against a hop without need, and against a busy own gate."""
    setting = builders.build_setting(
        {"dc-a": name_many(4)}, own_instance="billing-0"
    )
    assert setting.draw()["billing-0"] == 1000
    for name in name_many(4):
        setting.report(name, in_progress=20)
    setting.own["load"] = builders.build_report("billing-0", in_progress=50)
    assert setting.draw()["billing-0"] == 0
    setting.own["load"] = builders.build_report(
        "billing-0", state=State.LEAVING
    )
    assert setting.draw()["billing-0"] == 0


def test_only_instance_is_tried_again_after_a_pause():
    """Guards against refusing for seconds after a short outage."""
    setting = builders.build_setting({"dc-a": ["billing-0"]})
    setting.refuse("billing-0", Kind.TARGET_UNREACHABLE)
    setting.time.advance(clock.Milliseconds(100))
    assert setting.draw(5)["billing-0"] == 5


def test_no_instance_is_refused_with_a_time_to_retry():
    """Guards against sending a request again to an instance it was tried at."""
    setting = builders.build_setting({"dc-a": ["billing-0"]})
    with pytest.raises(exceptions.RefusedError) as caught:
        setting.draw(1, tried=("billing-0",))
    assert caught.value.kind is Kind.NO_INSTANCE
    assert caught.value.retry_after > clock.ZERO

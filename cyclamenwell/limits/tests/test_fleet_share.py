"""Limits of organisations over a modelled fleet."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.limits import fleet_share
from cyclamenwell.limits.tests import share_fleet

WINDOW = clock.Milliseconds(5000)
BOUNDS = fleet_share.LimitBounds(WINDOW, 0.25, 20.0)


@pytest.mark.parametrize("nodes", [3, 17, 83])
@pytest.mark.parametrize(
    ("rate", "burst"), [(145, 145), (26, 26), (10, 60), (2, 1)]
)
@pytest.mark.parametrize("out_of_touch", [0.0, 0.3])
def test_an_organisation_far_above_its_limit_stays_within_the_bound(
    nodes, rate, burst, out_of_touch
):
    """Guards against nodes whose shares add up to more than the limit.

    The organisation sends eight times its limit at all nodes. For some time a
    part of the nodes reaches no other one.
    """
    organisation = deployment.Organisation(
        "shops", (), None, float(rate), float(burst)
    )
    fleet = share_fleet.ShareFleet(nodes, BOUNDS, random.Random(5))
    passed = fleet.play(
        organisation, rate * 8.0, clock.Milliseconds(15_000), out_of_touch
    )
    bound = (rate * 5 + burst) * 1.25 + 20
    for start in passed[:: max(len(passed) // 100, 1)]:
        count = sum(start <= t < start + WINDOW for t in passed)
        assert count <= bound


@pytest.mark.parametrize("nodes", [3, 17, 60])
@pytest.mark.parametrize("rate", [20, 145])
def test_few_requests_within_the_limit_are_refused(nodes, rate):
    """Guards against refusing an organisation that keeps to its limit.

    Its requests come in clumps at few of the nodes, at 0.7 of the limit.
    Shares by demand alone refused a third of such requests.
    """
    organisation = deployment.Organisation(
        "shops", (), None, float(rate), float(rate)
    )
    fleet = share_fleet.ShareFleet(nodes, BOUNDS, random.Random(6))
    passed = fleet.play(
        organisation, rate * 0.7, clock.Milliseconds(15_000), 0.0
    )
    assert len(passed) >= 0.99 * fleet.offered


def test_shares_never_add_up_to_more_than_the_whole():
    """Guards against a divider that grants by demand without counting."""
    time = clock.ManualClock()
    divider = fleet_share.ShareDivider(time)
    generator = random.Random(2)
    granted = {}
    for _ in range(2000):
        time.advance(clock.Milliseconds(generator.uniform(0, 100)))
        host = f"h{generator.randrange(9)}"
        held, expiry = granted.get(host, (0.0, clock.ZERO))
        demand = deployment.ShareDemand(
            "shops",
            generator.expovariate(0.1),
            held if expiry > time.now() else 0.0,
        )
        for grant in divider.grant(host, (demand,)):
            granted[host] = (
                grant.share,
                time.now() + fleet_share.SHARE_DURATION,
            )
        total = sum(s for s, end in granted.values() if end > time.now())
        assert total <= 1.0 + 1e-9


def test_a_new_divider_grants_only_what_nodes_hold():
    """Guards against a second whole limit after the divider was replaced."""
    time = clock.ManualClock()
    divider = fleet_share.ShareDivider(time)
    first = divider.grant("h1", (deployment.ShareDemand("shops", 5.0, 0.25),))
    assert first[0].share == 0.25
    assert not divider.grant("h2", (deployment.ShareDemand("shops", 50.0),))
    time.advance(fleet_share.SHARE_DURATION)
    assert divider.grant("h2", (deployment.ShareDemand("shops", 50.0),))

"""Tests of distributed rate limits in a model of the nodes."""

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
@pytest.mark.parametrize("cut_fraction", [0.0, 0.3])
def test_an_organisation_far_above_its_limit_stays_within_the_bound(
    nodes, rate, burst, cut_fraction
):
    """Guards against nodes whose shares add up to more than the limit.

    The organisation sends eight times its limit to all nodes. For some time a
    fraction of the nodes is partitioned from all others.
    """
    organisation = deployment.Organisation(
        "shops", (), None, float(rate), float(burst)
    )
    fleet = share_fleet.ShareFleet(nodes, BOUNDS, random.Random(5))
    passed = fleet.offer_load(
        organisation, rate * 8.0, clock.Milliseconds(15_000), cut_fraction
    )
    bound = (rate * 5 + burst) * 1.25 + 20
    for start in passed[:: max(len(passed) // 100, 1)]:
        count = sum(start <= t < start + WINDOW for t in passed)
        assert count <= bound


@pytest.mark.parametrize("nodes", [3, 17, 60])
@pytest.mark.parametrize("rate", [20, 145])
def test_few_requests_within_the_limit_are_refused(nodes, rate):
    """Guards against refusals of an organisation that keeps to its limit.

    Its requests arrive in batches, mostly at few of the nodes, at 0.7 of the
    limit. Without the reserve, shares by demand refused a third of them.
    """
    organisation = deployment.Organisation(
        "shops", (), None, float(rate), float(rate)
    )
    fleet = share_fleet.ShareFleet(nodes, BOUNDS, random.Random(6))
    passed = fleet.offer_load(
        organisation, rate * 0.7, clock.Milliseconds(15_000), 0.0
    )
    assert len(passed) >= 0.99 * fleet.offered


def test_shares_never_add_up_to_more_than_the_whole():
    """Guards against a divider that ignores shares already granted."""
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
    """Guards against granting the limit twice when a divider is replaced."""
    time = clock.ManualClock()
    divider = fleet_share.ShareDivider(time)
    first = divider.grant("h1", (deployment.ShareDemand("shops", 5.0, 0.25),))
    assert first[0].share == 0.25
    assert not divider.grant("h2", (deployment.ShareDemand("shops", 50.0),))
    time.advance(fleet_share.SHARE_DURATION)
    assert divider.grant("h2", (deployment.ShareDemand("shops", 50.0),))

"""Membership views: their order, and the sum of the base shares."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from cyclamenwell import clock
from cyclamenwell.limits import shares
from cyclamenwell.limits.tests import builders
from cyclamenwell.membership import view_agreement as agreements
from cyclamenwell.membership import views
from cyclamenwell.testing import share_simulation

HARSH = share_simulation.Faults(
    loss=0.1, duplication=0.1, long_delay=0.1, drift=0.005
)
MEMBERSHIPS = (("a",), ("a", "b"), ("a", "b", "c"))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    strategies.lists(strategies.sampled_from(MEMBERSHIPS), min_size=1),
    strategies.data(),
)
def test_list_revisions_in_any_order_make_a_consistent_history(
    memberships, data
):
    """Guards against a view with members that the list never had."""
    order = data.draw(strategies.permutations(range(len(memberships))))
    history = ()
    for revision in order:
        history = views.insert_revision(
            history, revision, memberships[revision]
        )
        covering = [v for v in history if v.first <= revision <= v.last]
        assert [v.members for v in covering] == [memberships[revision]] or any(
            v.members == memberships[revision] and v.last >= revision
            for v in history
        )
    for older, newer in zip(history, history[1:], strict=False):
        assert older.last < newer.first
    for view in history:
        assert memberships[view.first] == view.members
        assert memberships[view.last] == view.members


def sum_bases(service):
    """Return the sum of the base shares that all processes may use now."""
    total = 0
    for node in service.nodes.values():
        bounds = node.agreement.bounds
        usable_until = bounds.usable_until
        if usable_until is not None and node.time.now() >= usable_until:
            continue
        if not bounds.settled or not bounds.views:
            continue
        total += min(
            shares.find_view_share(
                view, 60.0, builders.ORGANISATION, node.instance
            )
            for view in bounds.views
        )
    return total


def run_membership(seed, seconds):
    """Return the largest sum of base shares under random faults."""
    service = builders.build_service(seed, HARSH, 2 + seed % 5)
    faults = builders.FaultInjector(service, (0.3, 1.0, 3.0)[seed % 3])
    largest = 0
    for _ in range(int(seconds * 50)):
        faults.step()
        largest = max(largest, sum_bases(service))
    return largest


@pytest.mark.parametrize("seed", range(100, 112))
def test_base_shares_never_exceed_the_whole(seed):
    """Guards against two nodes that use the same units."""
    assert run_membership(seed, 40) <= shares.LIMIT_UNITS


def run_new_member_beside_partitioned_one():
    """Return a service with a new member that does not know a live one.

    billing-01 is partitioned and still uses its share of the old view.
    billing-00 knows that view; no list that the new member has seen holds it.
    """
    service = builders.build_service(1, share_simulation.Faults(), 2)
    settle(service)
    service.partitions = {"billing-01": 1}
    service.start("billing-90")
    revision = service.publish_list(["billing-00", "billing-90"])
    for name in ("billing-00", "billing-90"):
        service.deliver_list(name, revision)
        service.deliver_document(name, 1)
    settle(service)
    return service


def test_new_member_counts_members_that_only_its_peers_know():
    """Guards against a new member that takes a share still in use."""
    service = run_new_member_beside_partitioned_one()
    assert service.nodes["billing-90"].agreement.settled_at is None
    assert sum_bases(service) <= shares.LIMIT_UNITS
    service.crash("billing-01")
    service.partitions = {}
    service.run(clock.Milliseconds(6000), clock.Milliseconds(20))
    assert service.nodes["billing-90"].agreement.settled_at is not None
    assert sum_bases(service) == shares.LIMIT_UNITS


def test_ignoring_older_views_is_caught(monkeypatch):
    """Guards against a test above that passes without the rule it checks."""
    monkeypatch.setattr(
        agreements.ViewAgreement, "_has_settled_member", lambda self, view: True
    )
    assert (
        sum_bases(run_new_member_beside_partitioned_one()) > shares.LIMIT_UNITS
    )


def settle(service):
    """Run a service and return the nodes that settled on one view."""
    service.run(clock.Milliseconds(3000), clock.Milliseconds(20))
    return [
        name
        for name, node in service.nodes.items()
        if node.agreement.settled_at is not None
        and len(node.agreement.bounds.views) == 1
    ]


def test_views_settle_after_changes_without_faults():
    """Guards against shares that stay unused after planned changes."""
    service = builders.build_service(1, share_simulation.Faults(), 4)
    assert len(settle(service)) == 4
    service.start("billing-90")
    service.publish_list([*service.history[-1], "billing-90"])
    service.deliver_all()
    assert len(settle(service)) == 5
    service.say_goodbye("billing-01")
    service.publish_list(service.history[-1] - {"billing-01"})
    service.deliver_all()
    assert len(settle(service)) == 4
    service.start("billing-02")
    service.deliver_all()
    assert len(settle(service)) == 4
    assert sum_bases(service) == shares.LIMIT_UNITS


def test_failed_host_loses_its_share_after_share_hold():
    """Guards against a share that is never reused after a host fails."""
    service = builders.build_service(1, share_simulation.Faults(), 2)
    settle(service)
    service.crash("billing-00")
    service.silent.add("billing-00")
    service.publish_list(["billing-01"])
    service.deliver_all()
    service.run(clock.Milliseconds(2000), clock.Milliseconds(50))
    assert sum_bases(service) == shares.LIMIT_UNITS // 2
    service.run(clock.Milliseconds(8000), clock.Milliseconds(50))
    assert sum_bases(service) == shares.LIMIT_UNITS

"""Views: their order, and the sum of the base shares they allow."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from cyclamenwell import clock
from cyclamenwell.limits import shares
from cyclamenwell.limits.tests import builders
from cyclamenwell.membership import ledger as ledgers
from cyclamenwell.membership import views
from cyclamenwell.testing import shares as simulation

HARSH = simulation.Faults(
    loss=0.1, duplication=0.1, long_delay=0.1, drift=0.005
)
MEMBERSHIPS = (("a",), ("a", "b"), ("a", "b", "c"))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    strategies.lists(strategies.sampled_from(MEMBERSHIPS), min_size=1),
    strategies.data(),
)
def test_points_of_the_list_make_a_sound_history(truth, data):
    """Guards against a view that claims members the list never had."""
    order = data.draw(strategies.permutations(range(len(truth))))
    history = ()
    for revision in order:
        history = views.insert_point(history, revision, truth[revision])
        held = [v for v in history if v.first <= revision <= v.last]
        assert [v.members for v in held] == [truth[revision]] or any(
            v.members == truth[revision] and v.last >= revision for v in history
        )
    for older, newer in zip(history, history[1:], strict=False):
        assert older.last < newer.first
    for view in history:
        assert truth[view.first] == view.members
        assert truth[view.last] == view.members


def sum_bases(service):
    """Return the base shares that all processes would use now."""
    total = 0
    for node in service.nodes.values():
        standing = node.ledger.standing
        stop = standing.usable_until
        if stop is not None and node.time.now() >= stop:
            continue
        if not standing.settled or not standing.views:
            continue
        total += min(
            shares.find_share(view, 60.0, builders.ORGANISATION, node.instance)
            for view in standing.views
        )
    return total


def run_membership(seed, seconds):
    """Return the largest sum of base shares and how often there was one."""
    service = builders.build_service(seed, HARSH, 2 + seed % 5)
    chaos = builders.Chaos(service, (0.3, 1.0, 3.0)[seed % 3])
    largest = 0
    for _ in range(int(seconds * 50)):
        chaos.step()
        largest = max(largest, sum_bases(service))
    return largest


@pytest.mark.parametrize("seed", range(100, 112))
def test_base_shares_never_exceed_the_whole(seed):
    """Guards against two nodes that count on the same units."""
    assert run_membership(seed, 40) <= shares.WHOLE


def run_newcomer_beside_cut_off_member():
    """Return a service whose newcomer has never heard of a living member.

    billing-01 is cut off and still holds its part of the old view, which
    billing-00 knows and the newcomer has not seen in any list.
    """
    service = builders.build_service(1, simulation.Faults(), 2)
    settle(service)
    service.groups = {"billing-01": 1}
    service.start("billing-90")
    revision = service.publish_list(["billing-00", "billing-90"])
    for name in ("billing-00", "billing-90"):
        service.deliver_list(name, revision)
        service.deliver_document(name, 1)
    settle(service)
    return service


def test_newcomer_counts_members_that_only_its_peers_know():
    """Guards against a newcomer that takes a share still in use."""
    service = run_newcomer_beside_cut_off_member()
    assert service.nodes["billing-90"].ledger.settled_at is None
    assert sum_bases(service) <= shares.WHOLE
    service.crash("billing-01")
    service.groups = {}
    service.run(clock.Milliseconds(6000), clock.Milliseconds(20))
    assert service.nodes["billing-90"].ledger.settled_at is not None
    assert sum_bases(service) == shares.WHOLE


def test_ignoring_older_views_is_caught(monkeypatch):
    """Guards against a scenario that passes without the rule it tests."""
    monkeypatch.setattr(
        ledgers.ViewLedger, "_has_witness", lambda self, view: True
    )
    assert sum_bases(run_newcomer_beside_cut_off_member()) > shares.WHOLE


def settle(service):
    service.run(clock.Milliseconds(3000), clock.Milliseconds(20))
    return [
        name
        for name, node in service.nodes.items()
        if node.ledger.settled_at is not None
        and len(node.ledger.standing.views) == 1
    ]


def test_views_settle_after_changes_without_faults():
    """Guards against shares that stay lost after planned changes."""
    service = builders.build_service(1, simulation.Faults(), 4)
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
    assert sum_bases(service) == shares.WHOLE


def test_silent_host_is_counted_out_after_the_hold():
    """Guards against a share that a lost host takes with it for good."""
    service = builders.build_service(1, simulation.Faults(), 2)
    settle(service)
    service.crash("billing-00")
    service.silent.add("billing-00")
    service.publish_list(["billing-01"])
    service.deliver_all()
    service.run(clock.Milliseconds(2000), clock.Milliseconds(50))
    assert sum_bases(service) == shares.WHOLE // 2
    service.run(clock.Milliseconds(8000), clock.Milliseconds(50))
    assert sum_bases(service) == shares.WHOLE

"""Tests of rate and burst over simulated nodes under faults."""

from __future__ import annotations

import pytest

from cyclamenwell import clock
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.limits import shares
from cyclamenwell.limits.tests import builders
from cyclamenwell.membership import view_agreement as agreements
from cyclamenwell.testing import share_simulation

ORGANISATION = builders.ORGANISATION
FAULTS = share_simulation.Faults(
    loss=0.1, duplication=0.1, long_delay=0.1, drift=0.005
)
# A clock with the largest drift makes a bucket refill faster by this factor.
MAX_RATE_FACTOR = 1 + FAULTS.drift
TOLERANCE = 1e-3


class WindowCheck:
    """Checks the admissions in all time windows at once.

    Over all windows that end now, the largest excess of admissions over
    ``rate * T`` is the level of a leaky bucket. It must not exceed the burst.
    """

    def __init__(self):
        self.level = 0.0
        self.burst = 0.0

    def advance(self, rate, burst, elapsed):
        self.level = max(
            self.level - rate * MAX_RATE_FACTOR * elapsed.seconds, 0.0
        )
        if self.level == 0.0:
            self.burst = 0.0
        self.burst = max(self.burst, burst)

    def admit(self):
        self.level += 1.0
        return self.level <= self.burst + 1e-6


def find_limits(service):
    """Return the highest rate and burst in force at any process."""
    callers = [
        caller
        for node in service.nodes.values()
        for caller in service.documents[node.version]
    ]
    rates = [c.rate_per_second for c in callers]
    return max(rates, default=0.0), max((c.burst for c in callers), default=0)


def run_traffic(seed, seconds, faults=FAULTS, count=None, intensity=None):
    """Offer three times the rate to few nodes under random faults.

    Returns
    -------
    str or None
        First violation of a limit.
    int
        Number of admitted requests.
    """
    service = builders.build_service(seed, faults, count or 2 + seed % 5)
    chosen = (0.3, 1.0, 3.0)[seed % 3] if intensity is None else intensity
    injector = builders.FaultInjector(service, chosen)
    check = WindowCheck()
    admitted = 0
    for _ in range(int(seconds * 50)):
        injector.step()
        excess = service.find_excess(ORGANISATION)
        if excess > 0:
            return f"seed {seed}: {excess} units too many", admitted
        rate, burst = find_limits(service)
        check.advance(rate, burst, clock.Milliseconds(20))
        names = sorted(n for n, x in service.nodes.items() if not x.paused)
        loaded = names[: 1 + int(service.now.seconds) % 3]
        for _ in range(int(rate * 0.06) if loaded else 0):
            name = service.random.choice(loaded)
            if not service.nodes[name].take(ORGANISATION):
                continue
            if service.random.random() < 0.1:
                service.nodes[name].limiter.refund(ORGANISATION)
                continue
            admitted += 1
            if not check.admit():
                return f"seed {seed}: burst exceeded", admitted
    return None, admitted


@pytest.mark.parametrize("seed", range(12))
def test_no_window_admits_more_than_rate_and_burst(seed):
    """Guards against units or tokens used by two nodes at the same time."""
    violation, _ = run_traffic(seed, 25)
    assert violation is None


def test_random_runs_admit_requests():
    """Guards against checks that pass because no request is admitted."""
    assert sum(run_traffic(s, 10)[1] for s in range(4)) > 1000


def settle_without_condition(self, index):
    return self._own_name in self._views[index].members


def ignore_loans(self):
    return {}


@pytest.mark.parametrize(
    "owner, name, broken",
    [
        (agreements.ViewAgreement, "_can_settle", settle_without_condition),
        (shares.Account, "_list_loans", ignore_loans),
    ],
)
def test_broken_variants_are_caught(monkeypatch, owner, name, broken):
    """Guards against a check that does not detect a broken implementation."""
    monkeypatch.setattr(owner, name, broken)
    results = [run_traffic(seed, 25)[0] for seed in range(12)]
    assert any(results)


def run_view_change_under_lease():
    """Add an instance while most units are lent; return the largest excess.

    Returns
    -------
    int
        Largest number of units that all nodes held beyond the whole limit.
    """
    service = builders.build_service(1, share_simulation.Faults(), 2)
    service.run(clock.Milliseconds(2000), clock.Milliseconds(20))
    new_node = service.start("billing-90")
    offer_load(service, ["billing-01"], 400.0, clock.Milliseconds(1000))
    assert service.nodes["billing-01"].count_held(ORGANISATION) > 900_000
    service.publish_list(["billing-00", "billing-01", "billing-90"])
    service.deliver_all()
    largest = 0
    for _ in range(100):
        offer_load(service, ["billing-01"], 400.0, clock.Milliseconds(20))
        new_node.take(ORGANISATION)
        largest = max(largest, service.find_excess(ORGANISATION))
    assert new_node.agreement.settled_at is not None
    return largest


def test_view_is_declared_only_when_leases_fit():
    """Guards against a new view whose base shares include units still lent."""
    assert run_view_change_under_lease() <= 0


def test_declaring_at_once_is_caught(monkeypatch):
    """Guards against a scenario that passes without the condition it tests."""
    monkeypatch.setattr(
        limiters.FleetLimiter, "fits_view", lambda self, view: True
    )
    assert run_view_change_under_lease() > 0


def build_settled_service(count, rate=2400.0, burst=480.0):
    """Return a settled service with default settings and full buckets."""
    names = [f"billing-{number:03d}" for number in range(count)]
    service = share_simulation.SimulatedService(
        1,
        builders.build_default_limits(),
        clock.Milliseconds(1000),
        share_simulation.Faults(),
    )
    service.publish_list(names)
    service.publish_document(
        share_simulation.build_caller(ORGANISATION, rate, burst)
    )
    for name in names:
        service.start(name)
    service.deliver_all()
    service.run(clock.Milliseconds(8000), clock.Milliseconds(100))
    return service, names


def offer_load(service, chosen, rate, duration):
    """Offer a constant rate to some nodes in turn.

    Returns
    -------
    offered, admitted : int
        Numbers of requests.
    """
    step = clock.Milliseconds(5)
    due = 0.0
    offered = 0
    admitted = 0
    end = service.now + duration
    while service.now < end:
        service.step(step)
        due += rate * step.seconds
        while due >= 1:
            due -= 1
            name = chosen[offered % len(chosen)]
            offered += 1
            admitted += service.nodes[name].take(ORGANISATION)
    return offered, admitted


def test_units_flow_to_the_one_node_with_the_traffic():
    """Guards against refusals within the rate under uneven traffic."""
    service, names = build_settled_service(24)
    offer_load(service, names[:1], 2400.0, clock.Milliseconds(500))
    offered, admitted = offer_load(
        service, names[:1], 2400.0, clock.Milliseconds(4000)
    )
    assert admitted >= 0.9 * offered


def test_idle_service_is_quiet():
    """Guards against excessive control traffic of an idle service."""
    service, names = build_settled_service(24)
    service.byte_count = 0
    service.run(clock.Milliseconds(60_000), clock.Milliseconds(200))
    # Each message counts once at its sender and once at its receiver.
    assert 2 * service.byte_count / 60 / len(names) <= 1024


def test_changes_of_other_services_cause_no_messages():
    """Guards against view exchanges on changes that keep the membership."""
    counts = []
    for publishes in (False, True):
        service, names = build_settled_service(8)
        service.run(clock.Milliseconds(20_000), clock.Milliseconds(200))
        before = service.message_count
        for _ in range(20):
            if publishes:
                service.publish_list(names)
                service.deliver_all()
            service.run(clock.Milliseconds(1000), clock.Milliseconds(200))
        counts.append(service.message_count - before)
        for node in service.nodes.values():
            assert len(node.agreement.bounds.views) == 1
    assert counts[0] == counts[1]


def test_paused_node_uses_neither_lease_nor_old_share():
    """Guards against a paused process that resumes with expired state."""
    service, names = build_settled_service(2)
    one = service.nodes[names[0]]
    offer_load(service, names[:1], 2400.0, clock.Milliseconds(1000))
    assert one.limiter.report_units()[ORGANISATION][1] > 0
    one.paused = True
    service.run(clock.Milliseconds(500_000), clock.Milliseconds(1000))
    assert one.count_held(ORGANISATION) == 0
    assert not one.take(ORGANISATION)


def test_lowered_rate_holds_at_once_and_raised_level_does_not_jump():
    """Guards against tokens created by a change of the document."""
    service, names = build_settled_service(1)
    node = service.nodes[names[0]]
    lower = share_simulation.build_caller(ORGANISATION, 10.0, 5.0)
    node.apply_document(2, (lower,))
    assert sum(node.take(ORGANISATION) for _ in range(100)) <= 5
    higher = share_simulation.build_caller(ORGANISATION, 10.0, 500.0)
    node.apply_document(3, (higher,))
    assert not any(node.take(ORGANISATION) for _ in range(100))
    node.apply_document(4, ())
    service.run(clock.Milliseconds(5000), clock.Milliseconds(1000))
    assert not node.take(ORGANISATION)

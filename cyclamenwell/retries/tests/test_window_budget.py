"""Tests of the retry budget over a fleet."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell.retries import window_budget

RATIO, SLACK, WINDOW = 0.2, 49.0, clock.Milliseconds(10_000)


@pytest.mark.parametrize("nodes", [1, 17, 83])
def test_fleet_stays_within_ratio_and_slack(nodes):
    """Guards against a retry storm when the requests of all nodes fail.

    Each request of an uneven load fails and is retried at once if the budget
    allows it.
    """
    time = clock.ManualClock()
    budgets = []
    for _ in range(nodes):
        budget = window_budget.WindowRetryBudget(
            time, RATIO, SLACK, WINDOW, random.Random(1)
        )
        budget.set_fleet_size(nodes)
        budgets.append(budget)
    generator = random.Random(1)
    requests, retries = [], []
    for _ in range(6000):
        time.advance(clock.Milliseconds(generator.expovariate(1 / 4.0)))
        budget = budgets[int(generator.triangular(0, nodes, 0))]
        budget.record_request("meter")
        requests.append(time.now())
        if budget.spend("meter"):
            retries.append(time.now())
    assert retries
    for start in retries[:: max(len(retries) // 50, 1)]:
        end = start + WINDOW
        retried = sum(start <= t < end for t in retries)
        first = sum(start <= t < end for t in requests)
        assert retried <= RATIO * first + SLACK


def test_budget_is_restored_after_the_window():
    """Guards against a node that never retries again."""
    time = clock.ManualClock()
    budget = window_budget.WindowRetryBudget(
        time, RATIO, SLACK, WINDOW, random.Random(1)
    )
    while budget.spend("meter"):
        pass
    time.advance(WINDOW + clock.Milliseconds(1))
    assert budget.spend("meter")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_small_parts_of_many_nodes_are_used(seed):
    """Guards against a budget that is lost because each part is below one.

    195 nodes send 21 requests a second for a service, so the part of each node
    is about one retry, with fractions that rounding down would drop.
    """
    generator = random.Random(seed)
    time = clock.ManualClock()
    budgets = []
    for _ in range(195):
        budget = window_budget.WindowRetryBudget(
            time, RATIO, 213.0, WINDOW, generator
        )
        budget.set_fleet_size(195)
        budgets.append(budget)
    retries, requests = [], []
    for _ in range(1260):
        time.advance(clock.Milliseconds(generator.expovariate(21.0 / 1000)))
        node = generator.randrange(195)
        budgets[node].record_request("works")
        requests.append((time.now(), node))
        if budgets[node].spend("works"):
            retries.append(time.now())
    start = clock.Milliseconds(time.now().value - WINDOW.value)
    retried = sum(t >= start for t in retries)
    recent = [node for t, node in requests if t >= start]
    # Only a node that has requests can use its part.
    parts = 0.5 * (RATIO * len(recent) + 213.0 * len(set(recent)) / 195)
    assert retried >= 0.8 * parts
    assert retried <= RATIO * len(recent) + 213.0

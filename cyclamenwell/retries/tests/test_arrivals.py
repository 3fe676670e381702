"""Budget of repeated arrivals over a fleet."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell.retries import arrivals

RATIO, SLACK, WINDOW = 0.2, 49.0, clock.Milliseconds(10_000)


@pytest.mark.parametrize("nodes", [1, 17, 83])
def test_a_fleet_stays_within_ratio_and_slack(nodes):
    """Guards against repeats of all nodes that add up when all fails.

    Each request of an uneven load fails and wants to repeat at once.
    """
    time = clock.ManualClock()
    budgets = []
    for _ in range(nodes):
        budget = arrivals.ArrivalBudget(time, RATIO, SLACK, WINDOW)
        budget.set_fleet_size(nodes)
        budgets.append(budget)
    generator = random.Random(1)
    requests, repeats = [], []
    for _ in range(6000):
        time.advance(clock.Milliseconds(generator.expovariate(1 / 4.0)))
        budget = budgets[int(generator.triangular(0, nodes, 0))]
        budget.note_request("meter")
        requests.append(time.now())
        if budget.spend("meter"):
            repeats.append(time.now())
    assert repeats
    for start in repeats[:: max(len(repeats) // 50, 1)]:
        end = start + WINDOW
        repeated = sum(start <= t < end for t in repeats)
        first = sum(start <= t < end for t in requests)
        assert repeated <= RATIO * first + SLACK


def test_a_budget_comes_back_with_time():
    """Guards against a node that never repeats again."""
    time = clock.ManualClock()
    budget = arrivals.ArrivalBudget(time, RATIO, SLACK, WINDOW)
    while budget.spend("meter"):
        pass
    time.advance(WINDOW + clock.Milliseconds(1))
    assert budget.spend("meter")

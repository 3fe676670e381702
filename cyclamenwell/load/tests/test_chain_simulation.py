"""Service of a chain whose deepest service has too few slots for the load."""

import pytest

from cyclamenwell import clock
from cyclamenwell.load import chain_simulation
from cyclamenwell.load.tests import chain_builders as builders

SEEDS = (1, 2, 3)
# A quarter is the least that users accept once all machines are back.
MIN_SERVED = 0.25
END = clock.Milliseconds(20_000)
SETTLED = clock.Milliseconds(10_000)


def play(seed, load, leave_at=None):
    """Play a load; one of three targets of the last service may leave."""
    simulation = chain_simulation.ChainSimulation(builders.build_chain(), seed)
    simulation.add_load(load, END)
    if leave_at is not None:
        simulation.remove_target(leave_at, "gates-3")
    return simulation.run()


@pytest.mark.parametrize("utilisation", [1.25, 2.0])
def test_lost_target_of_the_deepest_service_fails_not_nearly_all(utilisation):
    """Guards against slots that serve only requests which fail later."""
    rate = builders.find_capacity(2) * utilisation
    load = chain_simulation.RootLoad(rate, builders.TIMEOUT)
    for seed in SEEDS:
        outcomes = play(seed, load, leave_at=clock.Milliseconds(4000))
        served = builders.measure_served(outcomes, SETTLED, END)
        assert served >= MIN_SERVED


def test_service_that_has_enough_slots_recovers_from_a_surge():
    """Guards against an overload that outlasts its cause."""
    rate = builders.find_capacity(3) * 0.97
    load = chain_simulation.RootLoad(
        rate,
        builders.TIMEOUT,
        surge_factor=2.0,
        surge_begin=clock.Milliseconds(2000),
        surge_end=clock.Milliseconds(4000),
    )
    for seed in SEEDS:
        served = builders.measure_served(play(seed, load), SETTLED, END)
        assert served >= MIN_SERVED

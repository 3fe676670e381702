"""Waits and return times."""

import random

from cyclamenwell import clock
from cyclamenwell.admission import patience

OBJECTIVE = clock.Milliseconds(1200)


def test_no_wait_that_leaves_no_time_to_run():
    """Guards against requests that get a slot too late to be answered."""
    wait = patience.find_max_wait(
        False, OBJECTIVE, clock.Milliseconds(150), clock.Milliseconds(100)
    )
    assert wait == clock.Milliseconds(50)
    gone = patience.find_max_wait(
        True, OBJECTIVE, clock.Milliseconds(50), clock.Milliseconds(100)
    )
    assert gone == clock.ZERO


def test_returning_callers_are_spread_within_what_they_honour():
    """Guards against callers that collide when they come back, or do not."""
    generator = random.Random(3)
    times = [
        patience.find_return_time(
            clock.Milliseconds(100),
            OBJECTIVE,
            clock.Milliseconds(3000),
            generator,
        ).value
        for _ in range(1000)
    ]
    assert min(times) >= 100
    assert max(times) <= 1000
    in_tenths = [
        sum(low <= t < low + 38 for t in times) for low in range(100, 480, 38)
    ]
    assert max(in_tenths) <= 200

"""Tests of queue waits and retry delays."""

import random

from cyclamenwell import clock
from cyclamenwell.admission import queue_wait

OBJECTIVE = clock.Milliseconds(1200)


def test_wait_leaves_time_to_run_the_request():
    """Guards against admitting requests too late to meet their deadline."""
    wait = queue_wait.find_max_wait(
        False, OBJECTIVE, clock.Milliseconds(150), clock.Milliseconds(100)
    )
    assert wait == clock.Milliseconds(50)
    too_late = queue_wait.find_max_wait(
        True, OBJECTIVE, clock.Milliseconds(50), clock.Milliseconds(100)
    )
    assert too_late == clock.ZERO


def test_a_late_request_is_taken_only_if_its_deadline_precedes_the_stop():
    """Guards against requests that run long and are cut by a planned stop."""
    time_left = clock.Milliseconds(2000)
    is_late = clock.ZERO
    short = clock.Milliseconds(1900)
    wait = queue_wait.find_wait_before_stop(short, time_left, is_late)
    assert wait == short
    longer = clock.Milliseconds(1901)
    wait = queue_wait.find_wait_before_stop(longer, time_left, is_late)
    assert wait is None


def test_a_request_that_may_outlast_a_stop_waits_only_until_it_is_late():
    """Guards against requests that begin late since they waited for a slot."""
    wait = queue_wait.find_wait_before_stop(
        clock.Milliseconds(6000),
        clock.Milliseconds(5000),
        clock.Milliseconds(300),
    )
    assert wait == clock.Milliseconds(300)


def test_retry_delays_are_spread_within_the_accepted_range():
    """Guards against synchronized retries and delays callers ignore."""
    generator = random.Random(3)
    times = [
        queue_wait.find_retry_delay(
            clock.Milliseconds(100),
            OBJECTIVE,
            clock.Milliseconds(3000),
            generator,
        ).value
        for _ in range(1000)
    ]
    assert min(times) >= 100
    assert max(times) <= 1000
    counts = [
        sum(low <= t < low + 38 for t in times) for low in range(100, 480, 38)
    ]
    assert max(counts) <= 200

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


def test_a_late_request_is_taken_only_if_it_ends_before_the_stop():
    """Guards against requests that are cut at the end of a planned stop."""
    service_time = clock.Milliseconds(100)
    wait = queue_wait.find_wait_before_stop(
        clock.Milliseconds(1000), service_time
    )
    assert wait == clock.Milliseconds(400)
    left = clock.Milliseconds(500)
    assert queue_wait.find_wait_before_stop(left, service_time) is None


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

"""Maximum queue wait of a request and retry delay of a refused caller.

Handles an overload that lasts for seconds. A caller that is refused early
retries once, after the delay in the refusal, and is then often served within
its latency objective; a request that waits until its deadline fails. The retry
delays are randomized so that the retries do not arrive at the same time.
"""

from __future__ import annotations

import random

from cyclamenwell import clock

__all__ = ["find_max_wait", "find_retry_delay", "find_wait_before_stop"]

# Part of the latency objective that a root request may spend in queues.
_MAX_ROOT_WAIT_PART = 0.3
# Part of the remaining time that a nested call may spend in queues.
_MAX_NESTED_WAIT_PART = 0.8
# Callers honour a retry delay of up to a third of their remaining time.
_MAX_RETRY_DELAY_PART = 0.3
_MIN_SPREAD_START = clock.Milliseconds(80)
# Part of the latency objective up to which retry delays are spread.
_SPREAD_END_PART = 0.4
# The range of retry delays extends to at least this multiple of its start.
_MIN_SPREAD_FACTOR = 2.0
# An answer at the deadline has to reach the caller before the process ends.
_DELIVERY_TIME = clock.Milliseconds(100)
# Lower bound where the caller has little time left.
_MIN_RETRY_DELAY = clock.Milliseconds(20)


def find_max_wait(
    is_nested: bool,
    objective: clock.Milliseconds,
    remaining: clock.Milliseconds,
    service_time: clock.Milliseconds,
) -> clock.Milliseconds:
    """Return the longest time that a request may wait for a slot.

    Parameters
    ----------
    is_nested : bool
        Whether the request is a nested call that a running request waits for.
    objective : clock.Milliseconds
        Latency objective of the route.
    remaining : clock.Milliseconds
        Time left until the deadline of the answer.
    service_time : clock.Milliseconds
        Usual service time of such a request at a target.
    """
    # A longer wait would leave too little time to serve the request.
    useful = remaining - service_time
    longest = objective * _MAX_ROOT_WAIT_PART
    if is_nested:
        longest = remaining * _MAX_NESTED_WAIT_PART
    return max(min(longest, useful), clock.ZERO)


def find_wait_before_stop(
    remaining: clock.Milliseconds,
    time_left: clock.Milliseconds,
    until_late: clock.Milliseconds,
) -> clock.Milliseconds | None:
    """Return the longest wait after which a request is not cut by a stop.

    Answers the requests that a stopping node gets late in its grace time: one
    that runs at its end is cut without an answer, whereas a caller that is
    refused in time knows that nothing has run. Past service times do not tell
    how long a request runs, since some routes have a long tail; only its
    deadline does.

    Parameters
    ----------
    remaining : clock.Milliseconds
        Time left until the deadline of the answer.
    time_left : clock.Milliseconds
        Time until the process ends.
    until_late : clock.Milliseconds
        Time until only requests may begin whose deadline passes before the
        process ends; negative after that.

    Returns
    -------
    clock.Milliseconds or None
        The wait, None if the request must not begin any more.
    """
    if remaining + _DELIVERY_TIME <= time_left:
        return remaining
    return until_late if until_late.value > 0 else None


def find_retry_delay(
    expected_capacity: clock.Milliseconds,
    objective: clock.Milliseconds,
    remaining: clock.Milliseconds,
    generator: random.Random,
) -> clock.Milliseconds:
    """Return the randomized delay after which a refused caller may retry.

    Parameters
    ----------
    expected_capacity : clock.Milliseconds
        Time until capacity is expected, zero if unknown.
    objective : clock.Milliseconds
        Latency objective of the route.
    remaining : clock.Milliseconds
        Remaining time that the caller waits for an answer.
    generator : random.Random
        Source of the jitter.
    """
    earliest = max(expected_capacity, _MIN_SPREAD_START)
    latest = max(objective * _SPREAD_END_PART, earliest * _MIN_SPREAD_FACTOR)
    chosen = earliest + (latest - earliest) * generator.random()
    return max(min(chosen, remaining * _MAX_RETRY_DELAY_PART), _MIN_RETRY_DELAY)

"""How long a request may wait for a slot, and when a refused caller returns.

The load that this answers: more requests than slots for seconds. A caller that
is refused early comes back once, after the time that it is told, and is then
often served within its objective; one that waits to the end is lost. The
callers that come back are spread over time so that they do not collide.
"""

from __future__ import annotations

import random

from cyclamenwell import clock

__all__ = ["find_max_wait", "find_return_time"]

# Part of the objective that a new request may spend in queues.
_ROOT_WAIT = 0.3
# Part of the time left that a request may wait for whose answer another
# running request waits.
_FURTHER_WAIT = 0.8
# Callers honour a return time of up to a third of the time that they have.
_LONGEST_RETURN = 0.3
_SHORTEST_RETURN = clock.Milliseconds(80)


def find_max_wait(
    is_further: bool,
    objective: clock.Milliseconds,
    remaining: clock.Milliseconds,
    service_time: clock.Milliseconds,
) -> clock.Milliseconds:
    """Return the longest time that a request may wait for a slot.

    Parameters
    ----------
    is_further : bool
        Whether a running request waits for this one.
    objective : clock.Milliseconds
        Time within which an answer is of full use.
    remaining : clock.Milliseconds
        Time left until the final answer.
    service_time : clock.Milliseconds
        Usual time of such a request at a target.
    """
    # What can not be finished after the wait is not worth waiting for.
    useful = remaining - service_time
    longest = objective * _ROOT_WAIT
    if is_further:
        longest = remaining * _FURTHER_WAIT
    return max(min(longest, useful), clock.ZERO)


def find_return_time(
    expected_room: clock.Milliseconds,
    objective: clock.Milliseconds,
    patience: clock.Milliseconds,
    generator: random.Random,
) -> clock.Milliseconds:
    """Return when a refused caller shall come back.

    Parameters
    ----------
    expected_room : clock.Milliseconds
        When room is expected, zero if that is not known.
    objective : clock.Milliseconds
        Time within which an answer is of full use.
    patience : clock.Milliseconds
        Time that the caller still waits.
    generator : random.Random
        Spreads the callers.
    """
    earliest = max(expected_room, _SHORTEST_RETURN)
    latest = max(objective * 0.4, earliest * 2.0)
    chosen = earliest + (latest - earliest) * generator.random()
    return max(min(chosen, patience * _LONGEST_RETURN), clock.Milliseconds(20))

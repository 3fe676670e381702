"""Circuit breaker at the caller while a service is overloaded."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.routing import overload

Importance = enumerations.Importance


@pytest.fixture
def time():
    return clock.ManualClock(clock.Milliseconds(1_000_000))


@pytest.fixture
def guard(time):
    return overload.OverloadGuard(time, random.Random(7))


def is_sent(guard, importance=Importance.NORMAL, organisation="shops"):
    try:
        guard.check("billing", organisation, importance)
    except exceptions.RefusedError as refusal:
        assert refusal.kind is enumerations.ErrorKind.OVERLOADED
        assert refusal.retry_after > clock.ZERO
        return False
    return True


def refuse(guard, count, candidates, importance=Importance.NORMAL):
    for number in range(count):
        guard.note_refusal(
            "billing", "shops", importance, f"billing-{number}", candidates
        )


def test_refusals_by_all_instances_open_the_circuit(guard):
    """Guards against calls that all instances would refuse."""
    refuse(guard, 2, 3)
    assert is_sent(guard)
    refuse(guard, 3, 3)
    assert not is_sent(guard)
    assert not is_sent(guard, Importance.LOW)


def test_more_important_calls_and_other_organisations_are_sent(guard):
    """Guards against refusing calls that an instance may still admit."""
    refuse(guard, 3, 3)
    assert is_sent(guard, Importance.CRITICAL)
    assert is_sent(guard, Importance.HIGH)
    assert is_sent(guard, organisation="mills")


def test_refusals_of_low_calls_do_not_stop_normal_ones(guard):
    """Guards against a circuit for all calls when only low ones are shed."""
    refuse(guard, 3, 3, Importance.LOW)
    assert is_sent(guard)
    assert not is_sent(guard, Importance.LOW)


def test_critical_calls_are_sent_even_if_they_were_refused(guard):
    """Guards against a circuit that refuses critical calls at the caller."""
    refuse(guard, 3, 3, Importance.CRITICAL)
    assert is_sent(guard, Importance.CRITICAL)


def test_refusals_of_few_among_many_are_enough(guard):
    """Guards against a circuit that never opens for a large service."""
    refuse(guard, 7, 300)
    assert is_sent(guard)
    refuse(guard, 8, 300)
    assert not is_sent(guard)


def test_expired_refusals_do_not_count(guard, time):
    """Guards against refusals that accumulate without expiry."""
    refuse(guard, 2, 3)
    time.advance(clock.Milliseconds(1001))
    guard.note_refusal("billing", "shops", Importance.NORMAL, "billing-2", 3)
    assert is_sent(guard)


def test_probes_pass_and_an_answer_closes_the_circuit_within_a_second(
    guard, time
):
    """Guards against too many probes and against a missed recovery."""
    refuse(guard, 3, 3)
    probes = 0
    for _ in range(100):
        if is_sent(guard):
            probes += 1
            refuse(guard, 3, 3)
        time.advance(clock.Milliseconds(10))
    assert 5 <= probes <= 25
    for _ in range(100):
        if is_sent(guard):
            guard.note_answer("billing", "shops")
            break
        time.advance(clock.Milliseconds(10))
    assert all(is_sent(guard) for _ in range(10))

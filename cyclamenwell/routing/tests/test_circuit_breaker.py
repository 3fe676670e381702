"""Circuit breaker at the caller while a service is overloaded."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.routing import circuit_breaker as circuit_breakers

Importance = enumerations.Importance


@pytest.fixture
def time():
    return clock.ManualClock(clock.Milliseconds(1_000_000))


@pytest.fixture
def breaker(time):
    return circuit_breakers.OverloadCircuitBreaker(time, random.Random(7))


def is_sent(breaker, importance=Importance.NORMAL, organisation="shops"):
    try:
        breaker.check("billing", organisation, importance)
    except exceptions.RefusedError as refusal:
        assert refusal.kind is enumerations.ErrorKind.OVERLOADED
        assert refusal.retry_after > clock.ZERO
        return False
    return True


def refuse(breaker, count, candidates, importance=Importance.NORMAL):
    for number in range(count):
        breaker.note_refusal(
            "billing", "shops", importance, f"billing-{number}", candidates
        )


def test_refusals_by_all_instances_open_the_circuit(breaker):
    """Guards against calls that all instances would refuse."""
    refuse(breaker, 2, 3)
    assert is_sent(breaker)
    refuse(breaker, 3, 3)
    assert not is_sent(breaker)
    assert not is_sent(breaker, Importance.LOW)


def test_more_important_calls_and_other_organisations_are_sent(breaker):
    """Guards against refusing calls that an instance may still admit."""
    refuse(breaker, 3, 3)
    assert is_sent(breaker, Importance.CRITICAL)
    assert is_sent(breaker, Importance.HIGH)
    assert is_sent(breaker, organisation="mills")


def test_refusals_of_low_calls_do_not_stop_normal_ones(breaker):
    """Guards against a circuit for all calls when only low ones are shed."""
    refuse(breaker, 3, 3, Importance.LOW)
    assert is_sent(breaker)
    assert not is_sent(breaker, Importance.LOW)


def test_critical_calls_are_sent_even_if_they_were_refused(breaker):
    """Guards against a circuit that refuses critical calls at the caller."""
    refuse(breaker, 3, 3, Importance.CRITICAL)
    assert is_sent(breaker, Importance.CRITICAL)


def test_refusals_of_few_among_many_are_enough(breaker):
    """Guards against a circuit that never opens for a large service."""
    refuse(breaker, 7, 300)
    assert is_sent(breaker)
    refuse(breaker, 8, 300)
    assert not is_sent(breaker)


def test_expired_refusals_do_not_count(breaker, time):
    """Guards against refusals that accumulate without expiry."""
    refuse(breaker, 2, 3)
    time.advance(clock.Milliseconds(1001))
    breaker.note_refusal("billing", "shops", Importance.NORMAL, "billing-2", 3)
    assert is_sent(breaker)


def test_probes_pass_and_an_answer_closes_the_circuit_within_a_second(
    breaker, time
):
    """Guards against too many probes and against a missed recovery."""
    refuse(breaker, 3, 3)
    probes = 0
    for _ in range(100):
        if is_sent(breaker):
            probes += 1
            refuse(breaker, 3, 3)
        time.advance(clock.Milliseconds(10))
    assert 5 <= probes <= 25
    for _ in range(100):
        if is_sent(breaker):
            breaker.note_answer("billing", "shops")
            break
        time.advance(clock.Milliseconds(10))
    assert all(is_sent(breaker) for _ in range(10))

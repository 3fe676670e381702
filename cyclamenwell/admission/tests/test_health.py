"""Tests of health checks with a scripted reader."""

import pytest

from cyclamenwell import clock
from cyclamenwell.admission import health
from cyclamenwell.admission import tickets
from cyclamenwell.admission.tests import builders

_COLD_LIMIT = 2
_ANSWER = tickets.Observation(tickets.Result.ANSWERED, clock.Milliseconds(10))


class ScriptedReader:
    """Returns the given status, None for no answer."""

    def __init__(self):
        self.status = 200

    def read_status(self):
        return self.status

    def close(self):
        pass


@pytest.fixture
def reader():
    return ScriptedReader()


@pytest.fixture
def gate():
    return builders.build_gate(clock.ManualClock(), cold_limit=_COLD_LIMIT)


@pytest.fixture
def watch(reader, gate):
    return health.HealthWatch(
        reader, gate, lambda: _COLD_LIMIT, clock.Milliseconds(1000)
    )


def grow(gate):
    """Answer full sample windows until the limit exceeds the cold limit."""
    for _ in range(60):
        entries = [
            gate.join(builders.build_ticket())
            for _ in range(gate.read_load().limit)
        ]
        for entry in entries:
            gate.leave(entry.admission, _ANSWER)
    limit = gate.read_load().limit
    assert limit > _COLD_LIMIT
    return limit


def test_healthy_report_does_not_raise_the_limit(watch, reader, gate):
    """Guards against a false healthy report that undoes a decrease."""
    grown = grow(gate)
    entry = gate.join(builders.build_ticket())
    gate.leave(
        entry.admission,
        tickets.Observation(tickets.Result.SHED, clock.Milliseconds(10)),
    )
    lowered = gate.read_load().limit
    assert lowered < grown
    for reader.status in (200, 503, 200, 200):
        watch.probe()
    assert gate.read_load().limit == lowered


@pytest.mark.parametrize("status", [503, 500, 404, 302])
def test_failure_lowers_to_the_cold_limit(watch, reader, gate, status):
    """Guards against an ignored failure and one that stops all traffic."""
    grown = grow(gate)
    reader.status = status
    for _ in range(10):
        watch.probe()
        assert gate.read_load().limit == _COLD_LIMIT
    reader.status = 200
    watch.probe()
    assert gate.read_load().limit == grown


def test_third_consecutive_unanswered_probe_caps_the_limit(watch, reader, gate):
    """Guards against a cap after one lost probe or none after three."""
    grown = grow(gate)
    for reader.status in (None, None, 200, None, None):
        watch.probe()
        assert gate.read_load().limit == grown
    watch.probe()
    assert gate.read_load().limit == _COLD_LIMIT


def test_full_use_of_the_cap_does_not_raise_the_limit_above_it(
    watch, reader, gate
):
    """Guards against a limit that grows while it is capped."""
    reader.status = 503
    watch.probe()
    uncapped = builders.build_gate(clock.ManualClock(), cold_limit=_COLD_LIMIT)
    for _ in range(100):
        for each in (gate, uncapped):
            entries = [
                each.join(builders.build_ticket()) for _ in range(_COLD_LIMIT)
            ]
            for entry in entries:
                each.leave(entry.admission, _ANSWER)
    reader.status = 200
    watch.probe()
    assert gate.read_load().limit == uncapped.read_load().limit

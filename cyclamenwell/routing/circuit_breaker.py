"""Circuit breaker that refuses calls to an overloaded service at the caller.

A circuit is open while nearly all instances of the service refuse calls of an
organisation because of overload.
"""

from __future__ import annotations

import dataclasses
import random
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations

__all__ = ["OverloadCircuitBreaker"]

_Kind = enumerations.ErrorKind
_Importance = enumerations.Importance
_OVERLOAD_KINDS = frozenset({_Kind.OVERLOADED, _Kind.COLD})

# Older refusals are no evidence of the present load.
_REFUSAL_LIFETIME = clock.Milliseconds(1000)
# This many randomly chosen instances that all refuse represent the service.
_SUFFICIENT_REFUSALS = 8
# Fraction of the candidates of a smaller service that have to refuse.
_SUFFICIENT_FRACTION = 0.9
_MIN_OPEN = clock.Milliseconds(300)
_MAX_OPEN = clock.Milliseconds(800)
_MIN_PROBE_INTERVAL = clock.Milliseconds(50)
_MAX_PROBE_INTERVAL = clock.Milliseconds(150)

_CircuitKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Last refusal by an instance, with the most important call it refused."""

    at: clock.Milliseconds
    importance: enumerations.Importance


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenCircuit:
    """Circuit that is open for calls of one importance and below."""

    until: clock.Milliseconds
    importance: enumerations.Importance
    next_probe: clock.Milliseconds


class OverloadCircuitBreaker:
    """Circuit breaker for each pair of a service and an organisation.

    Parameters
    ----------
    time : clock.Clock
        Clock for the age of refusals and the state of circuits.
    source : random.Random
        Source of jitter, which keeps nodes from probing at the same time.

    Notes
    -----
    The state is kept for each service and organisation, because the admission
    control of an instance may refuse one organisation and admit another. An
    open circuit still lets critical calls pass, and calls for which some
    instance has refused only less important ones. About every 100 ms it lets
    one call pass as a probe; a complete answer closes the circuit.
    """

    def __init__(self, time: clock.Clock, source: random.Random) -> None:
        self._time = time
        self._source = source
        self._lock = threading.Lock()
        self._refusals: dict[_CircuitKey, dict[str, _Refusal]] = {}
        self._open_circuits: dict[_CircuitKey, _OpenCircuit] = {}

    def indicates_overload(self, kind: enumerations.ErrorKind) -> bool:
        """Return whether a refusal of this kind indicates overload."""
        return kind in _OVERLOAD_KINDS

    def check(
        self,
        service: str,
        organisation: str,
        importance: enumerations.Importance,
    ) -> None:
        """Refuse a call if its circuit is open, unless it passes as a probe.

        Raises
        ------
        exceptions.RefusedError
            With kind OVERLOADED and the time after which to retry.
        """
        if not self._open_circuits or importance is _Importance.CRITICAL:
            return
        key = (service, organisation)
        now = self._time.now()
        with self._lock:
            circuit = self._open_circuits.get(key)
            if circuit is None or importance < circuit.importance:
                return
            if circuit.until <= now:
                del self._open_circuits[key]
                return
            if circuit.next_probe <= now:
                self._open_circuits[key] = dataclasses.replace(
                    circuit, next_probe=now + self._draw_probe_interval()
                )
                return
        raise exceptions.RefusedError(
            _Kind.OVERLOADED,
            f"nearly all instances of service {service} are overloaded",
            circuit.until - now + self._draw_duration(_MIN_OPEN, _MAX_OPEN),
        )

    def note_answer(self, service: str, organisation: str) -> None:
        """Record a complete answer, which closes the circuit."""
        key = (service, organisation)
        if key not in self._refusals:
            return
        with self._lock:
            self._refusals.pop(key, None)
            self._open_circuits.pop(key, None)

    def note_refusal(
        self,
        service: str,
        organisation: str,
        importance: enumerations.Importance,
        instance: str,
        candidates: int,
    ) -> None:
        """Record a refusal because of overload; open the circuit if enough.

        Parameters
        ----------
        service, organisation : str
            Called service and organisation of the call.
        importance : enumerations.Importance
            Importance of the call.
        instance : str
            Instance that refused.
        candidates : int
            Number of instances from which the instance was chosen.
        """
        key = (service, organisation)
        now = self._time.now()
        with self._lock:
            refusals = self._refusals.setdefault(key, {})
            known = refusals.get(instance)
            if known is not None and known.at + _REFUSAL_LIFETIME > now:
                importance = min(importance, known.importance)
            refusals[instance] = _Refusal(now, importance)
            needed = min(
                _SUFFICIENT_REFUSALS, candidates * _SUFFICIENT_FRACTION
            )
            if len(refusals) < needed:
                return
            self._remove_expired(refusals, now)
            if len(refusals) >= needed:
                self._open_circuit(key, refusals, now)

    def _remove_expired(
        self, refusals: dict[str, _Refusal], now: clock.Milliseconds
    ) -> None:
        expired = [
            n for n, r in refusals.items() if r.at + _REFUSAL_LIFETIME <= now
        ]
        for name in expired:
            del refusals[name]

    def _open_circuit(
        self,
        key: _CircuitKey,
        refusals: dict[str, _Refusal],
        now: clock.Milliseconds,
    ) -> None:
        # The refusal of a call shows nothing of more important calls, so the
        # circuit opens for the least important refused one and below.
        importance = max(r.importance for r in refusals.values())
        known = self._open_circuits.get(key)
        probe = now + self._draw_probe_interval()
        if known is not None and known.next_probe > now:
            probe = known.next_probe
        self._open_circuits[key] = _OpenCircuit(
            now + self._draw_duration(_MIN_OPEN, _MAX_OPEN), importance, probe
        )

    def _draw_probe_interval(self) -> clock.Milliseconds:
        return self._draw_duration(_MIN_PROBE_INTERVAL, _MAX_PROBE_INTERVAL)

    def _draw_duration(
        self, low: clock.Milliseconds, high: clock.Milliseconds
    ) -> clock.Milliseconds:
        return clock.Milliseconds(self._source.uniform(low.value, high.value))

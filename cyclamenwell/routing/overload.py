"""Refusing calls to an overloaded service near the caller."""

from __future__ import annotations

import dataclasses
import random
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations

__all__ = ["OverloadGuard"]

_Kind = enumerations.ErrorKind
_Importance = enumerations.Importance
_OVERLOADED = frozenset({_Kind.OVERLOADED, _Kind.COLD})

# Refusals older than this say nothing of the present load.
_MEMORY = clock.Milliseconds(1000)
# So many random instances that all refuse stand for the whole service.
_SUFFICIENT_REFUSALS = 8
_NEARLY_ALL = 0.9
_MIN_CLOSED = clock.Milliseconds(300)
_MAX_CLOSED = clock.Milliseconds(800)
_MIN_PROBE_INTERVAL = clock.Milliseconds(50)
_MAX_PROBE_INTERVAL = clock.Milliseconds(150)

_Flow = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    at: clock.Milliseconds
    importance: enumerations.Importance


@dataclasses.dataclass(frozen=True, slots=True)
class _Closure:
    until: clock.Milliseconds
    importance: enumerations.Importance
    next_probe: clock.Milliseconds


class OverloadGuard:
    """Refuses calls while nearly all instances of a service refuse them.

    Parameters
    ----------
    time : clock.Clock
        Clock of the closures.
    source : random.Random
        Source of the jitter, which keeps the nodes from probing together.

    Notes
    -----
    The state is kept for each service and organisation, because a gate may
    refuse one organisation and admit another. Calls that are more important
    than those refused, and critical ones, are always sent. One call in about
    100 ms is sent as a probe; its whole answer ends the closure.
    """

    def __init__(self, time: clock.Clock, source: random.Random) -> None:
        self._time = time
        self._source = source
        self._lock = threading.Lock()
        self._refusals: dict[_Flow, dict[str, _Refusal]] = {}
        self._closures: dict[_Flow, _Closure] = {}

    def counts(self, kind: enumerations.ErrorKind) -> bool:
        """Return whether a refusal of this kind is a sign of overload."""
        return kind in _OVERLOADED

    def check(
        self,
        service: str,
        organisation: str,
        importance: enumerations.Importance,
    ) -> None:
        """Refuse a call that would be refused by the instances.

        Raises
        ------
        exceptions.RefusedError
            As OVERLOADED, with the time after which to try again.
        """
        if not self._closures or importance is _Importance.CRITICAL:
            return
        flow = (service, organisation)
        now = self._time.now()
        with self._lock:
            closure = self._closures.get(flow)
            if closure is None or importance < closure.importance:
                return
            if closure.until <= now:
                del self._closures[flow]
                return
            if closure.next_probe <= now:
                self._closures[flow] = dataclasses.replace(
                    closure, next_probe=now + self._draw_probe_interval()
                )
                return
        raise exceptions.RefusedError(
            _Kind.OVERLOADED,
            f"nearly all instances of service {service} are overloaded",
            closure.until - now + self._draw(_MIN_CLOSED, _MAX_CLOSED),
        )

    def note_answer(self, service: str, organisation: str) -> None:
        """Note that an instance has run a call."""
        flow = (service, organisation)
        if flow not in self._refusals:
            return
        with self._lock:
            self._refusals.pop(flow, None)
            self._closures.pop(flow, None)

    def note_refusal(
        self,
        service: str,
        organisation: str,
        importance: enumerations.Importance,
        instance: str,
        candidates: int,
    ) -> None:
        """Note that an instance has refused a call because of overload.

        Parameters
        ----------
        service, organisation : str
            What was called and for whom.
        importance : enumerations.Importance
            Importance of the call.
        instance : str
            Instance that refused.
        candidates : int
            Number of instances that could have been chosen.
        """
        flow = (service, organisation)
        now = self._time.now()
        with self._lock:
            refusals = self._refusals.setdefault(flow, {})
            known = refusals.get(instance)
            if known is not None and known.at + _MEMORY > now:
                importance = min(importance, known.importance)
            refusals[instance] = _Refusal(now, importance)
            needed = min(_SUFFICIENT_REFUSALS, candidates * _NEARLY_ALL)
            if len(refusals) < needed:
                return
            self._forget_old(refusals, now)
            if len(refusals) >= needed:
                self._close(flow, refusals, now)

    def _forget_old(
        self, refusals: dict[str, _Refusal], now: clock.Milliseconds
    ) -> None:
        old = [n for n, r in refusals.items() if r.at + _MEMORY <= now]
        for name in old:
            del refusals[name]

    def _close(
        self,
        flow: _Flow,
        refusals: dict[str, _Refusal],
        now: clock.Milliseconds,
    ) -> None:
        # The least important refused call: what an instance admits of more
        # important calls is not known from it.
        importance = max(r.importance for r in refusals.values())
        known = self._closures.get(flow)
        probe = now + self._draw_probe_interval()
        if known is not None and known.next_probe > now:
            probe = known.next_probe
        self._closures[flow] = _Closure(
            now + self._draw(_MIN_CLOSED, _MAX_CLOSED), importance, probe
        )

    def _draw_probe_interval(self) -> clock.Milliseconds:
        return self._draw(_MIN_PROBE_INTERVAL, _MAX_PROBE_INTERVAL)

    def _draw(
        self, low: clock.Milliseconds, high: clock.Milliseconds
    ) -> clock.Milliseconds:
        return clock.Milliseconds(self._source.uniform(low.value, high.value))

"""Seeded plan of a soak run of sidecar nodes: services and faults."""

from __future__ import annotations

import dataclasses
import random

from cyclamenwell import clock

__all__ = [
    "CutWatches",
    "Fault",
    "ForgetHistory",
    "KillNode",
    "LeaveTarget",
    "PauseNode",
    "Publish",
    "RestartTarget",
    "RestoreStore",
    "SidecarPlan",
    "SpoilAnswers",
    "StopNode",
    "StoreTrouble",
    "build_plan",
]

_ANSWER_FAULTS = (
    "reset",
    "cut",
    "shed",
    "misdirected",
    "unsealed",
    "foreign",
    "encoded",
    "busy",
    "extra",
)
_STORE_MODES = ("refusing", "silent", "losing")
_FIRST_FAULT = clock.Milliseconds(1500)
# Mean time between the begins of two faults; most last longer and overlap.
_MEAN_FAULT_INTERVAL = clock.Milliseconds(900)
_DOWN_MS = (200.0, 2000.0)  # Time without a process.
_PAUSE_MS = (200.0, 2500.0)
_STORE_TROUBLE_MS = (500.0, 4000.0)
_COPY_AGE_MS = (500.0, 6000.0)
_AWAY_MS = (20.0, 2000.0)
_MEAN_STORE_FAULT_INTERVAL = clock.Milliseconds(5000)
_LEAVING_MS = (3000.0, 6000.0)
_COLD_MS = (1500.0, 4000.0)
_MAX_SPOILED_ANSWERS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a given time.

    Parameters
    ----------
    at : clock.Milliseconds
        Time after the start of the load.
    """

    at: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class KillNode(Fault):
    """A node gets SIGKILL and restarts after a delay."""

    node: int
    down: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class StopNode(Fault):
    """A node gets SIGTERM and restarts a delay after its exit."""

    node: int
    down: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class PauseNode(Fault):
    """A node is paused by SIGSTOP for a duration."""

    node: int
    duration: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class StoreTrouble(Fault):
    """The store refuses requests, is silent or loses answers."""

    mode: str
    duration: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetHistory(Fault):
    """The store drops the change history before the current revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutWatches(Fault):
    """The store closes the connections of waiting watches."""


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreStore(Fault):
    """The store goes away and returns from a copy taken at the begin.

    What it has lost is written again soon after.
    """

    copy_age: clock.Milliseconds
    away: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class SpoilAnswers(Fault):
    """A target returns faulty answers."""

    node: int
    kind: str
    times: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveTarget(Fault):
    """A target announces that it is leaving, and returns after a duration."""

    node: int
    duration: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class RestartTarget(Fault):
    """A target restarts at once after a crash and is cold for a duration."""

    node: int
    cold: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class Publish(Fault):
    """Operators publish the next version of the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarPlan:
    """Services and faults of a run.

    Parameters
    ----------
    seed : int
        Seed of the load and the faults.
    services : tuple of str
        Service of each node's target.
    duration : clock.Milliseconds
        Period in which faults begin.
    faults : tuple of Fault
        Faults in order of time.
    """

    seed: int
    services: tuple[str, ...]
    duration: clock.Milliseconds
    faults: tuple[Fault, ...]


def build_plan(
    seed: int, duration: clock.Milliseconds, nodes: int
) -> SidecarPlan:
    """Return a plan that depends only on the arguments."""
    rng = random.Random(f"{seed}/{nodes}")
    # Half of the nodes serve; one more serves the rest of a traffic split.
    serving = max(nodes // 2, 2)
    services = ("meter",) * serving + ("billing",)
    services += ("desk",) * max(nodes - len(services), 1)
    faults = []
    at = _FIRST_FAULT
    while at < duration:
        faults.append(_draw_fault(at, rng, len(services), serving))
        at += clock.Milliseconds(
            rng.expovariate(1.0 / _MEAN_FAULT_INTERVAL.value)
        )
    faults += _draw_store_faults(seed, duration, nodes)
    faults.sort(key=lambda fault: fault.at.value)
    return SidecarPlan(seed, services, duration, tuple(faults))


def _draw_store_faults(
    seed: int, duration: clock.Milliseconds, nodes: int
) -> list[Fault]:
    """Draw cuts and returns of the store, without a change of other faults."""
    rng = random.Random(f"{seed}/{nodes}/store")
    faults: list[Fault] = []
    at = _FIRST_FAULT
    while at < duration:
        copy_age = clock.Milliseconds(rng.uniform(*_COPY_AGE_MS))
        away = clock.Milliseconds(rng.uniform(*_AWAY_MS))
        faults.append(
            rng.choice((CutWatches(at), RestoreStore(at, copy_age, away)))
        )
        at += clock.Milliseconds(
            rng.expovariate(1.0 / _MEAN_STORE_FAULT_INTERVAL.value)
        )
    return faults


def _draw_fault(
    at: clock.Milliseconds, rng: random.Random, nodes: int, serving: int
) -> Fault:
    node = rng.randrange(nodes)
    target = rng.randrange(serving)

    def draw(bounds: tuple[float, float]) -> clock.Milliseconds:
        return clock.Milliseconds(rng.uniform(*bounds))

    factories = (
        lambda: KillNode(at, node, draw(_DOWN_MS)),
        lambda: StopNode(at, node, draw(_DOWN_MS)),
        lambda: StopNode(at, node, draw(_DOWN_MS)),
        lambda: PauseNode(at, node, draw(_PAUSE_MS)),
        lambda: StoreTrouble(
            at, rng.choice(_STORE_MODES), draw(_STORE_TROUBLE_MS)
        ),
        lambda: ForgetHistory(at),
        lambda: SpoilAnswers(
            at,
            target,
            rng.choice(_ANSWER_FAULTS),
            rng.randint(1, _MAX_SPOILED_ANSWERS),
        ),
        lambda: SpoilAnswers(
            at,
            target,
            rng.choice(_ANSWER_FAULTS),
            rng.randint(1, _MAX_SPOILED_ANSWERS),
        ),
        lambda: LeaveTarget(at, target, draw(_LEAVING_MS)),
        lambda: RestartTarget(at, target, draw(_COLD_MS)),
        lambda: Publish(at),
    )
    return rng.choice(factories)()

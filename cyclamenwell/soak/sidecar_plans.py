"""Seeded faults of a soak run of sidecar nodes."""

from __future__ import annotations

import dataclasses
import random

from cyclamenwell import clock

__all__ = [
    "Fault",
    "ForgetHistory",
    "KillNode",
    "LeaveTarget",
    "PauseNode",
    "Publish",
    "RestartTarget",
    "SidecarPlan",
    "SpoilAnswers",
    "StopNode",
    "StoreTrouble",
    "build_plan",
]

_SPOILED = (
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
_FIRST = clock.Milliseconds(1500)
# Mean time between two faults; most last longer, so they overlap.
_GAP = clock.Milliseconds(900)
_DOWN = (200.0, 2000.0)  # Milliseconds without a process.
_PAUSED = (200.0, 2500.0)
_STORE_AWAY = (500.0, 4000.0)
_LEAVING = (3000.0, 6000.0)
_COLD = (1500.0, 4000.0)
_MAX_SPOILED = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a time.

    Parameters
    ----------
    at : clock.Milliseconds
        Time after the start of the load.
    """

    at: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class KillNode(Fault):
    """A node gets SIGKILL and starts again after some time."""

    node: int
    down: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class StopNode(Fault):
    """A node gets SIGTERM and starts again some time after its end."""

    node: int
    down: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class PauseNode(Fault):
    """A node stands still for some time."""

    node: int
    duration: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class StoreTrouble(Fault):
    """The store refuses, is silent or loses answers for some time."""

    mode: str
    duration: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetHistory(Fault):
    """The store forgets the history before the present revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class SpoilAnswers(Fault):
    """A target spoils some answers."""

    node: int
    kind: str
    times: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveTarget(Fault):
    """A target says that it leaves, and is back after some time."""

    node: int
    duration: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class RestartTarget(Fault):
    """A target crashes and is back at once, cold for some time."""

    node: int
    cold: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class Publish(Fault):
    """Operators publish the next version of the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarPlan:
    """Load and faults of a run.

    Parameters
    ----------
    seed : int
        Seed of both.
    services : tuple of str
        Service of each node's target.
    duration : clock.Milliseconds
        Time in which faults begin.
    faults : tuple of Fault
        Faults in order.
    """

    seed: int
    services: tuple[str, ...]
    duration: clock.Milliseconds
    faults: tuple[Fault, ...]


def build_plan(
    seed: int, duration: clock.Milliseconds, nodes: int
) -> SidecarPlan:
    """Return a plan that depends on the arguments alone."""
    source = random.Random(f"{seed}/{nodes}")
    # Half of the nodes serve, one more serves the other part of a split.
    serving = max(nodes // 2, 2)
    services = ("meter",) * serving + ("billing",)
    services += ("desk",) * max(nodes - len(services), 1)
    faults = []
    at = _FIRST
    while at < duration:
        faults.append(_draw_fault(at, source, len(services), serving))
        at += clock.Milliseconds(source.expovariate(1.0 / _GAP.value))
    return SidecarPlan(seed, services, duration, tuple(faults))


def _draw_fault(
    at: clock.Milliseconds, source: random.Random, nodes: int, serving: int
) -> Fault:
    node = source.randrange(nodes)
    target = source.randrange(serving)

    def draw(bounds: tuple[float, float]) -> clock.Milliseconds:
        return clock.Milliseconds(source.uniform(*bounds))

    makers = (
        lambda: KillNode(at, node, draw(_DOWN)),
        lambda: StopNode(at, node, draw(_DOWN)),
        lambda: StopNode(at, node, draw(_DOWN)),
        lambda: PauseNode(at, node, draw(_PAUSED)),
        lambda: StoreTrouble(
            at, source.choice(_STORE_MODES), draw(_STORE_AWAY)
        ),
        lambda: ForgetHistory(at),
        lambda: SpoilAnswers(
            at, target, source.choice(_SPOILED), source.randint(1, _MAX_SPOILED)
        ),
        lambda: SpoilAnswers(
            at, target, source.choice(_SPOILED), source.randint(1, _MAX_SPOILED)
        ),
        lambda: LeaveTarget(at, target, draw(_LEAVING)),
        lambda: RestartTarget(at, target, draw(_COLD)),
        lambda: Publish(at),
    )
    return source.choice(makers)()

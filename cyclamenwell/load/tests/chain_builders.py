"""Builders of chains of services, and of the load on them."""

from __future__ import annotations

from cyclamenwell import clock
from cyclamenwell.load import chain_simulation

TIMEOUT = clock.Milliseconds(800)
# Of 16 slots, 95% are used; a request makes five calls of 30 ms.
_REQUESTS_PER_TARGET_AND_SECOND = 100.0


def build_chain() -> tuple:
    """Return four services, of which the third calls the last one five times.

    Each target of the last service has slots for 100 requests a second.
    """
    return (
        _build_service("sizing", 5, 42, 120.0, 1, 1500.0),
        _build_service("lots", 3, 70, 15.0, 1, 1200.0),
        _build_service("tally", 3, 70, 15.0, 5, 1200.0),
        _build_service("gates", 3, 16, 30.0, 0, 300.0),
    )


def find_capacity(last_targets: int) -> float:
    """Return the requests a second for which the last service has slots."""
    return last_targets * _REQUESTS_PER_TARGET_AND_SECOND


def measure_served(
    outcomes: list[chain_simulation.ChainOutcome],
    begin: clock.Milliseconds,
    end: clock.Milliseconds,
) -> float:
    """Return the served share of the requests that arrived in a period."""
    served = [o.is_served for o in outcomes if begin <= o.arrived_at < end]
    return sum(served) / len(served)


def _build_service(
    name: str,
    targets: int,
    slots: int,
    work_ms: float,
    calls: int,
    objective_ms: float,
) -> chain_simulation.SimulatedService:
    return chain_simulation.SimulatedService(
        name,
        slots,
        (1.0,) * targets,
        clock.Milliseconds(work_ms),
        calls,
        clock.Milliseconds(objective_ms),
    )

"""Measures how fast shares follow the traffic on simulated nodes.

Run ``python -m cyclamenwell.testing.share_figures``; ``docs/limits.md`` has the
results.
"""

from __future__ import annotations

import dataclasses

from absl import logging

from cyclamenwell import clock
from cyclamenwell.generated import settings
from cyclamenwell.testing import share_simulation

__all__ = ["Scenario", "measure"]

_ORGANISATION = "shops"
_STEP = clock.Milliseconds(2)
_IDLE_STEP = clock.Milliseconds(100)
_MAX_TOKEN_WAIT = clock.Milliseconds(50)  # Default of `max_token_wait`.
_INTERVAL_ENDS_MS = (100, 300, 1000, 3000, 10_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Traffic of one organisation.

    Parameters
    ----------
    name : str
        Description, printed in the table.
    receivers : int
        Number of nodes that receive the traffic, in rotation.
    offered : float
        Offered load, as a multiple of the rate limit.
    rate, burst : float
        Limits over all nodes, in requests per second and in requests.
    count : int
        Number of instances of the service.
    loss : float
        Probability that a message is lost.
    """

    name: str
    receivers: int = 1
    offered: float = 1.0
    rate: float = 2400.0
    burst: float = 480.0
    count: int = 24
    loss: float = 0.0


SCENARIOS = (
    Scenario("all at one node"),
    Scenario("all at one node, 5% of messages lost", loss=0.05),
    Scenario("at 3 nodes", receivers=3),
    Scenario("at 3 nodes, 80% of the rate", receivers=3, offered=0.8),
    Scenario("at all nodes, 80% of the rate", receivers=24, offered=0.8),
    Scenario("at all nodes", receivers=24),
    Scenario("at all nodes, twice the rate", receivers=24, offered=2.0),
    Scenario("burst 10, rate 100, one node", rate=100.0, burst=10.0),
    Scenario(
        "burst 10, rate 100, all nodes, 80%",
        receivers=24,
        offered=0.8,
        rate=100.0,
        burst=10.0,
    ),
)


def build(
    scenario: Scenario,
) -> tuple[share_simulation.SimulatedService, list[str]]:
    """Return a settled service with full token buckets."""
    names = [f"billing-{number:03d}" for number in range(scenario.count)]
    service = share_simulation.SimulatedService(
        1,
        settings.LimitSettings(max_token_wait=clock.ZERO),
        settings.PeerSettings().view_interval,
        share_simulation.Faults(loss=scenario.loss),
    )
    service.publish_list(names)
    service.publish_document(
        share_simulation.build_caller(
            _ORGANISATION, scenario.rate, scenario.burst
        )
    )
    for name in names:
        service.start(name)
    service.deliver_all()
    service.run(clock.Milliseconds(35_000), _IDLE_STEP)
    return service, names


def measure(scenario: Scenario) -> None:
    """Print the fractions of entitled requests admitted, and the traffic."""
    service, names = build(scenario)
    service.message_count = service.byte_count = 0
    service.run(clock.Milliseconds(60_000), _IDLE_STEP)
    idle = 2 * service.byte_count / 60 / len(names)
    service.message_count = service.byte_count = 0
    parts = []
    pending = offered = admitted = 0
    start = service.now
    waiting: list[
        tuple[clock.Milliseconds, share_simulation.SimulatedNode]
    ] = []
    last_entitled = last_admitted = 0.0
    for interval_end_ms in _INTERVAL_ENDS_MS:
        end = start + clock.Milliseconds(interval_end_ms)
        while service.now < end:
            service.step(_STEP)
            still_waiting = []
            for since, node in waiting:
                if node.take_after_wait(_ORGANISATION):
                    admitted += 1
                elif service.now < since + _MAX_TOKEN_WAIT:
                    still_waiting.append((since, node))
            waiting = still_waiting
            pending += scenario.rate * scenario.offered * _STEP.seconds
            while pending >= 1:
                pending -= 1
                node = service.nodes[names[offered % scenario.receivers]]
                offered += 1
                if node.take(_ORGANISATION):
                    admitted += 1
                else:
                    waiting.append((service.now, node))
        entitled = (
            interval_end_ms / 1000 * scenario.rate * min(scenario.offered, 1.0)
        )
        part = (admitted - last_admitted) / (entitled - last_entitled)
        last_entitled, last_admitted = entitled, admitted
        parts.append(f"{part:.3f}")
    seconds = _INTERVAL_ENDS_MS[-1] / 1000
    messages = 2 * service.message_count / seconds / len(names)
    traffic = 2 * service.byte_count / seconds / len(names)
    print(
        f"| {scenario.name} | {' | '.join(parts)} | {messages:.1f} | "
        f"{traffic:.0f} | {idle:.0f} |",
        flush=True,
    )


def main() -> None:
    """Measure all scenarios."""
    logging.set_verbosity(logging.ERROR)
    for scenario in SCENARIOS:
        measure(scenario)


if __name__ == "__main__":
    main()

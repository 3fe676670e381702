"""Builders of simulated services and random faults for tests of limits."""

from __future__ import annotations

import dataclasses

from cyclamenwell import clock
from cyclamenwell.generated import settings
from cyclamenwell.testing import share_simulation

__all__ = [
    "ORGANISATION",
    "FaultInjector",
    "build_default_limits",
    "build_limits",
    "build_service",
]

ORGANISATION = "shops"
_PERMANENT_INSTANCE = "billing-00"
_STEP = clock.Milliseconds(20)


def build_limits() -> settings.LimitSettings:
    """Return limit settings with durations short enough to simulate."""
    return settings.LimitSettings(
        lease_duration=clock.Milliseconds(400),
        lease_margin=clock.Milliseconds(40),
        share_hold=clock.Milliseconds(6000),
        share_stop=clock.Milliseconds(4800),
        max_token_wait=clock.ZERO,
    )


def build_default_limits() -> settings.LimitSettings:
    """Return the default limit settings without a wait for tokens."""
    return settings.LimitSettings(max_token_wait=clock.ZERO)


def build_service(
    seed: int, faults: share_simulation.Faults, count: int
) -> share_simulation.SimulatedService:
    """Return a service whose instances run and know list and document."""
    service = share_simulation.SimulatedService(
        seed, build_limits(), clock.Milliseconds(100), faults
    )
    names = [f"billing-{number:02d}" for number in range(count)]
    service.publish_list(names)
    service.publish_document(
        share_simulation.build_caller(ORGANISATION, 400.0, 60.0)
    )
    for name in names:
        service.start(name)
    service.deliver_all()
    return service


@dataclasses.dataclass(slots=True)
class FaultInjector:
    """Injects random faults and changes into a simulated service.

    Parameters
    ----------
    service : share_simulation.SimulatedService
        The service.
    intensity : float
        Mean number of events per second.
    next_number : int
        Number in the name of the next new instance.
    settled_steps : int
        Steps after which some node held units.
    steps : int
        Steps so far.

    Notes
    -----
    One instance is never removed, so that some member of each new view knows
    the views before it, as ``docs/limits.md`` requires of the list.
    """

    service: share_simulation.SimulatedService
    intensity: float = 3.0
    next_number: int = 50
    settled_steps: int = 0
    steps: int = 0

    def step(self) -> None:
        """Cause random events and advance time by one step."""
        random = self.service.random
        if random.random() < self.intensity * _STEP.seconds:
            random.choice(
                (
                    self.change_list,
                    self.start_instance,
                    self.end_instance,
                    self.pause_instance,
                    self.restart_instance,
                    self.partition_network,
                    self.publish_document,
                )
            )()
        for name in list(self.service.nodes):
            node = self.service.nodes[name]
            if node.paused and random.random() < 0.2 * _STEP.seconds:
                self.service.resume(name)
            if not node.paused and random.random() < 2 * _STEP.seconds:
                self.deliver_updates(name)
        if self.service.partitions and random.random() < 0.2 * _STEP.seconds:
            self.service.partitions = {}
        self.service.step(_STEP)
        self.steps += 1
        self.settled_steps += any(
            node.count_held(ORGANISATION)
            for node in self.service.nodes.values()
        )

    def deliver_updates(self, name: str) -> None:
        """Deliver a random newer list revision and document version."""
        service = self.service
        node = service.nodes[name]
        newest = len(service.history) - 1
        service.deliver_list(
            name, service.random.randint(min(node.revision, newest), newest)
        )
        newest = len(service.documents) - 1
        service.deliver_document(
            name, service.random.randint(min(node.version, newest), newest)
        )

    def change_list(self) -> None:
        """Remove an instance from the list, running or not, or add it back."""
        service = self.service
        members = set(service.history[-1])
        if service.random.random() < 0.4:
            # A change of another service only raises the revision.
            service.publish_list(members)
            return
        known = sorted(set(service.nodes) | members)
        members ^= {service.random.choice(known)}
        service.publish_list(members | {_PERMANENT_INSTANCE})

    def start_instance(self) -> None:
        """Start and list a new instance."""
        service = self.service
        if len(service.nodes) >= 10:
            return
        name = f"billing-{self.next_number}"
        self.next_number += 1
        service.start(name)
        service.publish_list(service.history[-1] | {name})

    def end_instance(self) -> None:
        """End an instance by a goodbye, a crash, or an unresponsive host."""
        service = self.service
        names = sorted(set(service.nodes) - {_PERMANENT_INSTANCE})
        if len(names) < 2:
            return
        name = service.random.choice(names)
        ending = service.random.randrange(3)
        if ending == 0 and not service.nodes[name].paused:
            service.say_goodbye(name)
        else:
            service.crash(name)
        if ending == 2:
            service.silent.add(name)
        if service.random.random() < 0.7:
            service.publish_list(service.history[-1] - {name})

    def restart_instance(self) -> None:
        """Replace the process of an instance at the same address."""
        service = self.service
        names = sorted(set(service.nodes) - {_PERMANENT_INSTANCE})
        if names:
            service.start(service.random.choice(names))

    def pause_instance(self) -> None:
        """Pause a process for a random time."""
        names = sorted(self.service.nodes)
        self.service.nodes[self.service.random.choice(names)].paused = True

    def partition_network(self) -> None:
        """Split the network into two partitions."""
        self.service.partitions = {
            name: self.service.random.randrange(2)
            for name in self.service.nodes
        }

    def publish_document(self) -> None:
        """Change rate and burst at random.

        Some of the bursts are shared by all instances, some only by a few.
        """
        random = self.service.random
        self.service.publish_document(
            share_simulation.build_caller(
                ORGANISATION,
                random.choice((50.0, 200.0, 400.0)),
                random.choice((1.0, 5.0, 20.0, 60.0)),
            )
        )

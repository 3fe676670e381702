"""The parts of a sidecar node, as its connections use them."""

from __future__ import annotations

import dataclasses
from typing import Any

from cyclamenwell.generated import deployment
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import dispatcher as dispatchers
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import shares as share_module
from cyclamenwell.sidecar import spread as spreads
from cyclamenwell.telemetry import journal

__all__ = ["Parts", "record_outcome"]


@dataclasses.dataclass(frozen=True, slots=True)
class Parts(contexts.NodeContext):
    """Everything that a connection of a caller or a peer needs.

    Parameters
    ----------
    executor : executors.Executor
        Runs requests at the own target.
    dispatcher : dispatchers.Dispatcher
        Brings requests to targets.
    shares : share_module.Shares
        Limits of organisations.
    spread : spreads.Spread
        Exchanges state with other nodes.
    """

    executor: executors.Executor
    dispatcher: dispatchers.Dispatcher
    shares: share_module.Shares
    spread: spreads.Spread

    def find_organisation(self, name: str) -> deployment.Organisation | None:
        """Return an organisation of the configuration in force."""
        configuration = self.state.configuration
        if configuration is None:
            return None
        return next(
            (o for o in configuration.organisations if o.name == name), None
        )


def record_outcome(
    log: journal.Journal, event: str, is_routine: bool, **fields: Any
) -> None:
    """Log the outcome of a request; failures have a budget of their own."""
    if is_routine:
        log.record_routine(event, **fields)
    else:
        log.record(event, **fields)

"""Components of a sidecar node, as used by its connections."""

from __future__ import annotations

import dataclasses
from typing import Any

from cyclamenwell.generated import deployment
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import dispatcher as dispatchers
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import gossip as gossip_module
from cyclamenwell.sidecar import rate_limiter as rate_limiter_module
from cyclamenwell.telemetry import structured_log

__all__ = ["Components", "record_outcome"]


@dataclasses.dataclass(frozen=True, slots=True)
class Components(contexts.NodeContext):
    """Components that serve connections of callers and peers.

    Parameters
    ----------
    executor : executors.Executor
        Runs requests at the local target.
    dispatcher : dispatchers.Dispatcher
        Dispatches requests to targets.
    rate_limiter : rate_limiter_module.RateLimiter
        Enforces the rate limits of organisations.
    gossip : gossip_module.Gossip
        Exchanges published state with other nodes.
    """

    executor: executors.Executor
    dispatcher: dispatchers.Dispatcher
    rate_limiter: rate_limiter_module.RateLimiter
    gossip: gossip_module.Gossip

    def find_organisation(self, name: str) -> deployment.Organisation | None:
        """Return an organisation of the configuration in force, or None."""
        configuration = self.state.configuration
        if configuration is None:
            return None
        return next(
            (o for o in configuration.organisations if o.name == name), None
        )


def record_outcome(
    log: structured_log.StructuredLog,
    event: str,
    is_routine: bool,
    **fields: Any,
) -> None:
    """Log the outcome of a request.

    Failures are logged under a separate rate limit.
    """
    if is_routine:
        log.record_routine(event, **fields)
    else:
        log.record(event, **fields)

"""Components of a node that message handlers and operations use."""

from __future__ import annotations

import dataclasses

from cyclamenwell import clock
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import dissemination
from cyclamenwell.configuration import freshness as freshnesses
from cyclamenwell.configuration import reader as readers
from cyclamenwell.configuration import responder as responders
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.membership import directory as directories
from cyclamenwell.membership import view_agreement as agreements
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import claims
from cyclamenwell.node import executor as executors
from cyclamenwell.peers import identity as identities

__all__ = ["Components"]


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """Components of one node.

    Parameters
    ----------
    settings : settings.NodeSettings
        Settings.
    identity : identities.Identity
        Identity of the node towards its peers.
    time : clock.Clock
        Clock of all components.
    trail : audit.AuditTrail
        Audit trail of the configuration.
    store : stores.Store
        Configuration in force.
    directory : directories.Directory
        Listed instances and their load reports.
    freshness : freshnesses.Freshness
        Checks whether the view was confirmed recently enough.
    responder : responders.Responder
        Answers configuration messages of peers.
    disseminator : dissemination.Disseminator
        Exchanges configuration with the neighbours.
    reader : readers.Reader
        Reads documents and the instance list from the platform.
    agreement : agreements.ViewAgreement
        Live membership views of the service of this node.
    limiter : limiters.FleetLimiter
        Rate limits of the organisations.
    claims : claims.ClaimParts
        Components that run non-idempotent requests at most once.
    executor : executors.Executor
        Runs calls at the local target.
    watcher : cancellations.DisconnectWatcher
        Detects callers that disconnect.
    """

    settings: settings.NodeSettings
    identity: identities.Identity
    time: clock.Clock
    trail: audit.AuditTrail
    store: stores.Store
    directory: directories.Directory
    freshness: freshnesses.Freshness
    responder: responders.Responder
    disseminator: dissemination.Disseminator
    reader: readers.Reader
    agreement: agreements.ViewAgreement
    limiter: limiters.FleetLimiter
    claims: claims.ClaimParts
    executor: executors.Executor
    watcher: cancellations.DisconnectWatcher

    def report_load(self) -> messages.LoadReport:
        """Return state and load of this instance."""
        return self.executor.report_load(self.identity.incarnation)

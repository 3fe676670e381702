"""The parts of a node that messages and operators reach."""

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
from cyclamenwell.membership import ledger as ledgers
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import claims
from cyclamenwell.node import executor as executors
from cyclamenwell.peers import identity as identities

__all__ = ["Parts"]


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """Parts of one node.

    Parameters
    ----------
    settings : settings.NodeSettings
        Settings.
    identity : identities.Identity
        Identity towards peers.
    time : clock.Clock
        Clock of all parts.
    trail : audit.AuditTrail
        Audit trail.
    store : stores.Store
        Configuration in force.
    directory : directories.Directory
        Instances and their reports.
    freshness : freshnesses.Freshness
        Age of the view.
    responder : responders.Responder
        Answers peers about configuration.
    disseminator : dissemination.Disseminator
        Links to the neighbours.
    reader : readers.Reader
        Reads the platform.
    ledger : ledgers.ViewLedger
        Live views of the own service.
    limiter : limiters.FleetLimiter
        Rates of the organisations.
    claims : claims.ClaimParts
        Runs non-idempotent requests at most once.
    executor : executors.Executor
        Runs calls at the own target.
    watcher : cancellations.DisconnectWatcher
        Watches connections of running calls.
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
    ledger: ledgers.ViewLedger
    limiter: limiters.FleetLimiter
    claims: claims.ClaimParts
    executor: executors.Executor
    watcher: cancellations.DisconnectWatcher

    def report_load(self) -> messages.LoadReport:
        """Return state and load of this instance."""
        return self.executor.report_load(self.identity.incarnation)

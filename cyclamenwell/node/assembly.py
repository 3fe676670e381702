"""Building the parts of a node from its settings."""

from __future__ import annotations

import dataclasses
import functools
import random
import secrets

from cyclamenwell import clock
from cyclamenwell.admission import gate as gates
from cyclamenwell.admission import health as healths
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import conversation as conversations
from cyclamenwell.configuration import deliveries
from cyclamenwell.configuration import dissemination
from cyclamenwell.configuration import freshness as freshnesses
from cyclamenwell.configuration import listing
from cyclamenwell.configuration import reader as readers
from cyclamenwell.configuration import responder as responders
from cyclamenwell.configuration import source as sources
from cyclamenwell.configuration import startup as startups
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import settings
from cyclamenwell.keys import contexts
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.limits import service_peers
from cyclamenwell.membership import directory as directories
from cyclamenwell.membership import ledger as ledgers
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import claims
from cyclamenwell.node import dispatcher as dispatchers
from cyclamenwell.node import executor as executors
from cyclamenwell.node import front as fronts
from cyclamenwell.node import own_service
from cyclamenwell.node import parts
from cyclamenwell.node import target as targets
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import identity as identities
from cyclamenwell.retries import budget as budgets
from cyclamenwell.routing import chooser as choosers
from cyclamenwell.routing import outliers
from cyclamenwell.routing import overload
from cyclamenwell.routing import tiers as distances

__all__ = ["Assembly", "assemble"]

_INCARNATION_RANDOM_BITS = 16
_SEED_BITS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _Base:
    """Parts that all others use."""

    settings: settings.NodeSettings
    time: clock.Clock
    source: random.Random
    identity: identities.Identity
    trail: audit.AuditTrail
    store: stores.Store
    directory: directories.Directory
    freshness: freshnesses.Freshness
    client: peer_clients.PeerClient


@dataclasses.dataclass(frozen=True, slots=True)
class Assembly:
    """All parts of a node except its servers.

    Parameters
    ----------
    parts : parts.Parts
        Parts that messages and operators reach.
    front : fronts.Front
        Entry of requests.
    startup : startups.Startup
        Gets the configuration and keeps it current.
    service_peers : service_peers.ServicePeers
        Conversation with the nodes of the own service.
    client : peer_clients.PeerClient
        Connections to other nodes.
    target : targets.TargetClient
        Connections to the target.
    health : healths.HealthWatch or None
        Probes of the target's health endpoint, if it has one.
    """

    parts: parts.Parts
    front: fronts.Front
    startup: startups.Startup
    service_peers: service_peers.ServicePeers
    client: peer_clients.PeerClient
    target: targets.TargetClient
    health: healths.HealthWatch | None


def assemble(loaded: settings.NodeSettings, time: clock.Clock) -> Assembly:
    """Build the parts of a node.

    Parameters
    ----------
    loaded : settings.NodeSettings
        Settings.
    time : clock.Clock
        Clock of all parts.

    Returns
    -------
    Assembly
        Parts that have not been started.
    """
    base = _build_base(loaded, time)
    registry = contexts.ContextRegistry()
    target = targets.TargetClient(loaded.target, time)
    gate = gates.Gate(time, loaded.admission)
    limiter = limiters.FleetLimiter(base.identity, time, loaded.limits)
    ledger = ledgers.ViewLedger(
        base.identity, time, loaded.limits, loaded.peers.view_interval
    )
    own = own_service.OwnService(
        loaded.instance.service, base.store, gate, limiter, ledger
    )
    base.store.add_listener(own.take_change)
    claim_parts = claims.build_claims(
        loaded, base.identity, time, ledger, base.directory, base.client
    )
    executor = executors.Executor(
        instance=loaded.instance,
        time=time,
        store=base.store,
        gate=gate,
        limiter=limiter,
        registry=registry,
        target=target,
        freshness=base.freshness,
        guard=claim_parts.guard,
    )
    context = _build_context(base, executor)
    node = _build_parts(base, context, executor, ledger, limiter, claim_parts)
    return Assembly(
        parts=node,
        front=fronts.Front(
            time,
            base.store,
            registry,
            _build_dispatcher(base, executor),
            node.watcher,
            lambda: executor.state is enumerations.InstanceState.STARTING,
            base.freshness,
        ),
        startup=startups.Startup(
            context,
            base.client,
            loaded.peers,
            node.disseminator,
            node.reader,
            base.source,
        ),
        service_peers=_build_service_peers(base, node),
        client=base.client,
        target=target,
        health=_build_health(base, gate),
    )


def _build_base(loaded: settings.NodeSettings, time: clock.Clock) -> _Base:
    trail = audit.AuditTrail()
    directory = directories.Directory(time)
    return _Base(
        settings=loaded,
        time=time,
        source=random.Random(secrets.randbits(_SEED_BITS)),
        identity=identities.Identity(
            loaded.instance.name,
            directories.make_incarnation(
                time, secrets.randbits(_INCARNATION_RANDOM_BITS)
            ),
        ),
        trail=trail,
        store=stores.Store(time, trail),
        directory=directory,
        freshness=freshnesses.Freshness(
            time, loaded.peers, loaded.instance.name, directory
        ),
        client=peer_clients.PeerClient(loaded.peers.connect_timeout),
    )


def _build_health(base: _Base, gate: gates.Gate) -> healths.HealthWatch | None:
    target = base.settings.target
    if not target.health_path:
        return None
    return healths.HealthWatch(
        healths.HealthReader(target),
        gate,
        functools.partial(_read_cold_limit, base),
        target.health_interval,
    )


def _read_cold_limit(base: _Base) -> int:
    service = base.store.snapshot.services.get(base.settings.instance.service)
    return (service or documents.ServiceDocument()).cold_limit


def _build_context(
    base: _Base, executor: executors.Executor
) -> conversations.Context:
    return conversations.Context(
        identity=base.identity,
        time=base.time,
        store=base.store,
        directory=base.directory,
        lists=listing.ListBook(base.directory),
        freshness=base.freshness,
        deliveries=deliveries.PendingDeliveries(
            base.time, base.settings.peers.call_timeout
        ),
        report_load=functools.partial(
            executor.report_load, base.identity.incarnation
        ),
    )


def _build_parts(
    base: _Base,
    context: conversations.Context,
    executor: executors.Executor,
    ledger: ledgers.ViewLedger,
    limiter: limiters.FleetLimiter,
    claim_parts: claims.ClaimParts,
) -> parts.Parts:
    return parts.Parts(
        settings=base.settings,
        identity=base.identity,
        time=base.time,
        trail=base.trail,
        store=base.store,
        directory=base.directory,
        freshness=base.freshness,
        responder=responders.Responder(context),
        disseminator=dissemination.Disseminator(
            context,
            base.client,
            base.settings.instance,
            base.settings.peers,
            base.source,
        ),
        reader=readers.Reader(
            sources.PlatformClient(base.settings.platform.url),
            base.settings.platform,
            base.settings.instance.name,
            base.time,
            base.store,
            base.directory,
            base.freshness,
            base.source,
        ),
        ledger=ledger,
        limiter=limiter,
        claims=claim_parts,
        executor=executor,
        watcher=cancellations.DisconnectWatcher(),
    )


def _build_service_peers(
    base: _Base, node: parts.Parts
) -> service_peers.ServicePeers:
    return service_peers.ServicePeers(
        service=base.settings.instance.service,
        time=base.time,
        ledger=node.ledger,
        limiter=node.limiter,
        directory=base.directory,
        client=base.client,
        timeout=base.settings.peers.call_timeout,
        lease_timeout=base.settings.limits.lease_duration * 0.25,
        report_load=node.report_load,
    )


def _build_dispatcher(
    base: _Base, executor: executors.Executor
) -> dispatchers.Dispatcher:
    tracker = outliers.OutlierTracker(base.time)
    return dispatchers.Dispatcher(
        identity=base.identity,
        time=base.time,
        store=base.store,
        directory=base.directory,
        chooser=_build_chooser(base, executor, tracker),
        tracker=tracker,
        guard=overload.OverloadGuard(base.time, base.source),
        executor=executor,
        client=base.client,
        budget=budgets.RetryBudget(),
    )


def _build_chooser(
    base: _Base,
    executor: executors.Executor,
    tracker: outliers.OutlierTracker,
) -> choosers.Chooser:
    instance = base.settings.instance
    tiers = distances.Tiers(
        base.directory,
        base.time,
        instance.name,
        instance.data_centre,
        instance.region,
    )
    base.store.add_listener(
        lambda snapshot, _: tiers.note_out(snapshot.data_centres_out)
    )
    return choosers.Chooser(
        directory=base.directory,
        tiers=tiers,
        tracker=tracker,
        time=base.time,
        source=base.source,
        instance=instance.name,
        read_own_load=functools.partial(
            executor.report_load, base.identity.incarnation
        ),
    )

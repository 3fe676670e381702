"""Construction of the components of a node from its settings."""

from __future__ import annotations

import dataclasses
import functools
import random
import secrets

from cyclamenwell import clock
from cyclamenwell.admission import gate as gates
from cyclamenwell.admission import health as healths
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import deliveries
from cyclamenwell.configuration import dissemination
from cyclamenwell.configuration import freshness as freshnesses
from cyclamenwell.configuration import list_replication
from cyclamenwell.configuration import peer_session as peer_sessions
from cyclamenwell.configuration import platform_client as platform_clients
from cyclamenwell.configuration import reader as readers
from cyclamenwell.configuration import responder as responders
from cyclamenwell.configuration import startup as startups
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import settings
from cyclamenwell.keys import contexts
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.limits import service_peers
from cyclamenwell.membership import directory as directories
from cyclamenwell.membership import view_agreement as agreements
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import claims
from cyclamenwell.node import components
from cyclamenwell.node import dispatcher as dispatchers
from cyclamenwell.node import executor as executors
from cyclamenwell.node import frontend as frontends
from cyclamenwell.node import own_service
from cyclamenwell.node import target as targets
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import identity as identities
from cyclamenwell.retries import budget as budgets
from cyclamenwell.routing import circuit_breaker as circuit_breakers
from cyclamenwell.routing import instance_balancer
from cyclamenwell.routing import localities
from cyclamenwell.routing import outliers

__all__ = ["Assembly", "assemble"]

_INCARNATION_RANDOM_BITS = 16
_SEED_BITS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _SharedComponents:
    """Components that the others use."""

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
    """All components of a node except its servers.

    Parameters
    ----------
    components : components.Components
        Components that message handlers and operations use.
    frontend : frontends.Frontend
        Handles requests of callers and of the local target.
    startup : startups.Startup
        Loads the configuration and keeps it current.
    service_peers : service_peers.ServicePeers
        Exchanges views and leases with the nodes of the same service.
    client : peer_clients.PeerClient
        Connections to other nodes.
    target : targets.TargetClient
        Connections to the target.
    health : healths.HealthWatch or None
        Probes of the target's health endpoint, if it has one.
    """

    components: components.Components
    frontend: frontends.Frontend
    startup: startups.Startup
    service_peers: service_peers.ServicePeers
    client: peer_clients.PeerClient
    target: targets.TargetClient
    health: healths.HealthWatch | None


def assemble(loaded: settings.NodeSettings, time: clock.Clock) -> Assembly:
    """Build the components of a node.

    Parameters
    ----------
    loaded : settings.NodeSettings
        Settings.
    time : clock.Clock
        Clock of all components.

    Returns
    -------
    Assembly
        Components that have not been started.
    """
    shared = _build_shared_components(loaded, time)
    registry = contexts.ContextRegistry()
    target = targets.TargetClient(loaded.target, time)
    gate = gates.Gate(time, loaded.admission)
    limiter = limiters.FleetLimiter(shared.identity, time, loaded.limits)
    agreement = agreements.ViewAgreement(
        shared.identity, time, loaded.limits, loaded.peers.view_interval
    )
    own_service_listener = own_service.OwnServiceListener(
        loaded.instance.service, shared.store, gate, limiter, agreement
    )
    shared.store.add_listener(own_service_listener.apply_change)
    data_centre_listener = own_service.DataCentreListener(
        loaded.instance.data_centre, shared.store, gate
    )
    shared.store.add_listener(data_centre_listener.apply_change)
    claim_parts = claims.build_claims(
        loaded,
        shared.identity,
        time,
        agreement,
        shared.directory,
        shared.client,
    )
    executor = executors.Executor(
        instance=loaded.instance,
        time=time,
        store=shared.store,
        gate=gate,
        limiter=limiter,
        registry=registry,
        target=target,
        freshness=shared.freshness,
        idempotency_guard=claim_parts.guard,
    )
    context = _build_context(shared, executor)
    node = _build_components(
        shared, context, executor, agreement, limiter, claim_parts
    )
    return Assembly(
        components=node,
        frontend=frontends.Frontend(
            time,
            shared.store,
            registry,
            _build_dispatcher(shared, executor),
            node.watcher,
            lambda: executor.state is enumerations.InstanceState.STARTING,
            shared.freshness,
        ),
        startup=startups.Startup(
            context,
            shared.client,
            loaded.peers,
            node.disseminator,
            node.reader,
            shared.source,
        ),
        service_peers=_build_service_peers(shared, node),
        client=shared.client,
        target=target,
        health=_build_health(shared, gate),
    )


def _build_shared_components(
    loaded: settings.NodeSettings, time: clock.Clock
) -> _SharedComponents:
    trail = audit.AuditTrail()
    directory = directories.Directory(time)
    return _SharedComponents(
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


def _build_health(
    shared: _SharedComponents, gate: gates.Gate
) -> healths.HealthWatch | None:
    target = shared.settings.target
    if not target.health_path:
        return None
    return healths.HealthWatch(
        healths.HealthReader(target),
        gate,
        functools.partial(_read_cold_limit, shared),
        target.health_interval,
    )


def _read_cold_limit(shared: _SharedComponents) -> int:
    service = shared.store.snapshot.services.get(
        shared.settings.instance.service
    )
    return (service or documents.ServiceDocument()).cold_limit


def _build_context(
    shared: _SharedComponents, executor: executors.Executor
) -> peer_sessions.SessionContext:
    return peer_sessions.SessionContext(
        identity=shared.identity,
        time=shared.time,
        store=shared.store,
        directory=shared.directory,
        list_replicator=list_replication.ListReplicator(shared.directory),
        freshness=shared.freshness,
        deliveries=deliveries.PendingDeliveries(
            shared.time, shared.settings.peers.call_timeout
        ),
        report_load=functools.partial(
            executor.report_load, shared.identity.incarnation
        ),
    )


def _build_components(
    shared: _SharedComponents,
    context: peer_sessions.SessionContext,
    executor: executors.Executor,
    agreement: agreements.ViewAgreement,
    limiter: limiters.FleetLimiter,
    claim_parts: claims.ClaimParts,
) -> components.Components:
    return components.Components(
        settings=shared.settings,
        identity=shared.identity,
        time=shared.time,
        trail=shared.trail,
        store=shared.store,
        directory=shared.directory,
        freshness=shared.freshness,
        responder=responders.Responder(context),
        disseminator=dissemination.Disseminator(
            context,
            shared.client,
            shared.settings.instance,
            shared.settings.peers,
            shared.source,
        ),
        reader=readers.Reader(
            platform_clients.PlatformClient(shared.settings.platform.url),
            shared.settings.platform,
            shared.settings.instance.name,
            shared.time,
            shared.store,
            shared.directory,
            shared.freshness,
            shared.source,
        ),
        agreement=agreement,
        limiter=limiter,
        claims=claim_parts,
        executor=executor,
        watcher=cancellations.DisconnectWatcher(),
    )


def _build_service_peers(
    shared: _SharedComponents, node: components.Components
) -> service_peers.ServicePeers:
    return service_peers.ServicePeers(
        service=shared.settings.instance.service,
        time=shared.time,
        agreement=node.agreement,
        limiter=node.limiter,
        directory=shared.directory,
        client=shared.client,
        timeout=shared.settings.peers.call_timeout,
        lease_timeout=shared.settings.limits.lease_duration * 0.25,
        report_load=node.report_load,
    )


def _build_dispatcher(
    shared: _SharedComponents, executor: executors.Executor
) -> dispatchers.Dispatcher:
    tracker = outliers.OutlierTracker(shared.time)
    return dispatchers.Dispatcher(
        identity=shared.identity,
        time=shared.time,
        store=shared.store,
        directory=shared.directory,
        balancer=_build_balancer(shared, executor, tracker),
        tracker=tracker,
        circuit_breaker=circuit_breakers.OverloadCircuitBreaker(
            shared.time, shared.source
        ),
        executor=executor,
        client=shared.client,
        budget=budgets.RetryBudget(),
    )


def _build_balancer(
    shared: _SharedComponents,
    executor: executors.Executor,
    tracker: outliers.OutlierTracker,
) -> instance_balancer.InstanceBalancer:
    instance = shared.settings.instance
    tiers = localities.LocalityTiers(
        shared.directory,
        shared.time,
        instance.name,
        instance.data_centre,
        instance.region,
    )
    shared.store.add_listener(
        lambda snapshot, _: tiers.exclude_data_centres(
            snapshot.data_centres_out
        )
    )
    return instance_balancer.InstanceBalancer(
        directory=shared.directory,
        tiers=tiers,
        tracker=tracker,
        time=shared.time,
        source=shared.source,
        instance=instance.name,
        read_own_load=functools.partial(
            executor.report_load, shared.identity.incarnation
        ),
    )

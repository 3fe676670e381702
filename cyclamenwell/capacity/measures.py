"""Measurements at small sizes, from which costs are extrapolated."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import gc
import pathlib
import random
import socket
import threading
import time
import tracemalloc
from typing import Any

from cyclamenwell import clock
from cyclamenwell.capacity import figures
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import store as stores
from cyclamenwell.configuration.tests import builders as nodes
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.idempotency import keys
from cyclamenwell.idempotency.tests import builders as claims
from cyclamenwell.load import deployment as deployments
from cyclamenwell.load import processes
from cyclamenwell.membership import directory as directories
from cyclamenwell.peers import wire
from cyclamenwell.testing import builders
from cyclamenwell.testing import share_simulation

__all__ = ["measure_bytes", "measure_idle_rss", "measure_slopes"]

_SEED = 1
_FRAME_HEADER_BYTES = 4
_STACK_BYTES = 256 * 1024  # The stack size in the main program of the node.
_SETTLE_TIME = clock.Milliseconds(35_000)
_CHANGE_TIME = clock.Milliseconds(8_000)
_STEP = clock.Milliseconds(100)
_LONG_STEP = clock.Milliseconds(500)
# Spaces lease requests, so that few leases of a lender are open at a time.
_LEASE_GAP = clock.Milliseconds(100)
_RUNS = 3
_KEYS_PER_ORGANISATION = 5
_MAX_TICKS = 600


def measure_slopes() -> dict[str, figures.LinearFit]:
    """Run all measurements and return the linear fit of each cost."""
    return {
        **_measure_dissemination(),
        **_measure_documents(),
        **_measure_list(),
        **_measure_service(),
        **_measure_limits(),
        **_measure_claims(),
        "thread": _measure_threads(),
    }


def measure_bytes() -> dict[str, int]:
    """Return the frame lengths of control messages with typical content."""
    sender = messages.Sender("billing-00017", 2**60, "billing-00018", 2**60)
    load = messages.LoadReport("billing-00017", 2**60, limit=160)
    entry = messages.VersionEntry("service/billing-accounts", 120)
    text = messages.DocumentText(
        entry.name, entry.version, builders.build_service_text()
    )
    digest = b"d" * 32
    listed = messages.ListReply(
        9001, nodes.build_entries(1), ("billing-00012",), 9000, b"f" * 8
    )
    key = keys.make_key(clock.SystemClock())
    samples = (
        messages.ExchangeRequest(sender, digest, 9001, 900, load),
        messages.ExchangeReply(digest, 9001, 900, load),
        messages.AnnounceRequest(sender, (entry,), 9001),
        messages.AnnounceReply((entry.name,), 9001),
        messages.DeliverRequest(sender, (text,)),
        messages.DeliverReply(9001),
        messages.ListReply(
            listed.revision,
            listed.instances,
            listed.removed,
            listed.base_revision,
            listed.fingerprint,
        ),
        messages.LeaseRequest(sender, b"l" * 16, "shops", 9, b"r" * 16, 2000),
        messages.LeaseReply(b"l" * 16, 9, 1.5, 2000),
        messages.ClaimRequest(sender, b"c" * 16, key, "shops", digest),
        messages.ClaimReply(b"c" * 16, True),
        messages.ReleaseRequest(sender, b"c" * 16, key, "shops"),
        messages.GoodbyeRequest(sender),
    )
    known = messages.AnnounceReply((), 9001)
    message_by_name = {"AnnounceReply, known": known} | {
        type(message).__name__: message for message in samples
    }
    return {
        name: len(wire.encode(message)) + _FRAME_HEADER_BYTES
        for name, message in message_by_name.items()
    }


def measure_idle_rss() -> int:
    """Return the resident set size of a serving node without load, in bytes."""
    with processes.ProcessGroup() as group:
        deployment = deployments.Deployment(group)
        deployment.start_platform()
        deployment.assign_ports([("billing-a", "billing", "dc-a")])
        deployment.publish_list()
        deployment.publish_fleet()
        (member,) = deployment.members
        deployment.start_target(member, {})
        deployment.start_node(member)
        deployment.wait_for_targets()
        deployment.wait_for_nodes(1)
        return _read_rss(str(group.find_pid(f"node-{member.instance}")))


def _read_rss(pid: str) -> int:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(li for li in text.splitlines() if li.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def _measure_time(action: Callable[[], Any]) -> float:
    """Return the processor time of an action, the minimum of several runs.

    Notes
    -----
    The time is in milliseconds. Other load on the machine and the first run of
    a code path can only increase it.
    """
    times = []
    for _ in range(_RUNS):
        gc.collect()
        start = time.process_time()
        action()
        times.append(time.process_time() - start)
    return min(times) * 1000


def _measure_memory(build: Callable[[], Any]) -> float:
    """Return the bytes of memory that an object retains."""
    gc.collect()
    tracemalloc.start()
    retained = build()
    gc.collect()
    found = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return float(found)


def _fit_sizes(
    unit: str, per: str, sizes: Sequence[int], run: Callable[[int], float]
) -> figures.LinearFit:
    return figures.fit_line(unit, per, sizes, [run(size) for size in sizes])


def _measure_dissemination() -> dict[str, figures.LinearFit]:
    manual_clock = clock.ManualClock(clock.Milliseconds(1000))
    pair = nodes.build_fleet(
        nodes.build_entries(2),
        nodes.Network(random.Random(_SEED)),
        manual_clock,
        nodes.FakePlatform(),
    )
    session = pair[0].open_session(pair[1])
    version = [0]

    def announce_new(count: int) -> None:
        for _ in range(count):
            version[0] += 1
            text = nodes.build_text(
                version[0],
                "service/billing",
                builders.build_service_text(rate=1000 + version[0]),
            )
            pair[0].store.apply((text,), "test")
            session.announce((messages.VersionEntry(text.name, text.version),))

    announce_new(1)
    known = (messages.VersionEntry("service/billing", 1),)
    counts = (400, 800, 1600)
    fits = {
        "exchange": _fit_sizes(
            "ms",
            "exchange without differences, both sides",
            counts,
            lambda n: _measure_time(
                lambda: [session.exchange() for _ in range(n)]
            ),
        ),
        "announcement": _fit_sizes(
            "ms",
            "announcement of a known version, both sides",
            counts,
            lambda n: _measure_time(
                lambda: [session.announce(known) for _ in range(n)]
            ),
        ),
        "delivery": _fit_sizes(
            "ms",
            "new document, announced, delivered and applied, both sides",
            (40, 80, 160),
            lambda n: _measure_time(lambda: announce_new(n)),
        ),
    }
    fleets = {size: _count_messages(size) for size in (30, 60, 90)}
    for name, request in (
        ("announcements", "AnnounceRequest"),
        ("deliveries", "DeliverRequest"),
    ):
        fits[name] = _fit_sizes(
            "messages",
            "node, for one change",
            tuple(fleets),
            lambda n, request=request: float(fleets[n][request]),
        )
    return fits


def _count_messages(size: int) -> dict[str, int]:
    """Return the message counts of one change in a fleet of in-memory nodes."""
    source = random.Random(_SEED)
    manual_clock = clock.ManualClock(clock.Milliseconds(1000))
    platform = nodes.FakePlatform()
    network = nodes.Network(source)
    fleet = nodes.build_fleet(
        nodes.build_entries(size), network, manual_clock, platform
    )
    nodes.run_ticks(fleet, manual_clock, source, _MAX_TICKS // 2)
    network.calls.clear()
    version = platform.publish("fleet", builders.build_fleet_text("dc-9"))
    nodes.run_ticks(
        fleet,
        manual_clock,
        source,
        _MAX_TICKS,
        lambda: all(
            node.store.snapshot.find_version("fleet") == version
            for node in fleet
        ),
    )
    return network.calls


def _build_store(count: int, build: Callable[[int], Any]) -> stores.Store:
    store = stores.Store(clock.SystemClock(), audit.AuditTrail())
    store.apply([build(number) for number in range(count)], "test")
    return store


def _build_service(number: int) -> messages.DocumentText:
    name = f"service-{number}"
    text = builders.build_service_text(service=name)
    return nodes.build_text(1, f"service/{name}", text)


def _build_organisation(number: int, count: int) -> messages.DocumentText:
    name = f"organisation-{number}"
    listed = [f"key-{number}-{index}" for index in range(count)]
    text = builders.build_organisation_text(name, *listed)
    return nodes.build_text(1, f"organisation/{name}", text)


def _measure_documents() -> dict[str, figures.LinearFit]:
    sizes = (50, 100, 200)
    return {
        "service_document": _fit_sizes(
            "bytes",
            "service document",
            sizes,
            lambda n: _measure_memory(lambda: _build_store(n, _build_service)),
        ),
        "organisation_document": _fit_sizes(
            "bytes",
            f"organisation with {_KEYS_PER_ORGANISATION} keys",
            sizes,
            lambda n: _measure_memory(
                lambda: _build_store(
                    n,
                    lambda i: _build_organisation(i, _KEYS_PER_ORGANISATION),
                )
            ),
        ),
        "organisation_key": _fit_sizes(
            "bytes",
            "key in one organisation",
            (50, 100, 200),
            lambda n: _measure_memory(
                lambda: _build_store(1, lambda i: _build_organisation(i, n))
            ),
        ),
    }


def _build_directory(count: int) -> directories.Directory:
    directory = directories.Directory(clock.SystemClock())
    directory.replace_list(1, nodes.build_entries(count))
    return directory


def _measure_list() -> dict[str, figures.LinearFit]:
    sizes = (3750, 7500, 15_000)
    directory = directories.Directory(clock.SystemClock())
    entries = {size: nodes.build_entries(size) for size in sizes}
    revision = iter(range(1, 1000))
    return {
        "listed_memory": _fit_sizes(
            "bytes",
            "listed instance",
            sizes,
            lambda n: _measure_memory(lambda: _build_directory(n)),
        ),
        "list_time": _fit_sizes(
            "ms",
            "listed instance, list replaced",
            sizes,
            lambda n: _measure_time(
                lambda: directory.replace_list(next(revision), entries[n])
            ),
        ),
    }


def _build_shares(size: int) -> share_simulation.SimulatedService:
    service = share_simulation.SimulatedService(
        _SEED,
        settings.LimitSettings(max_token_wait=clock.ZERO),
        settings.PeerSettings().view_interval,
        share_simulation.Faults(),
    )
    names = [f"billing-{number:05}" for number in range(size)]
    service.publish_list(names)
    service.publish_document(share_simulation.build_caller())
    for name in names:
        service.start(name)
    service.deliver_all()
    service.run(_SETTLE_TIME, _STEP)
    service.byte_count = service.message_count = 0
    return service


def _measure_service() -> dict[str, figures.LinearFit]:
    sizes = (12, 24, 48)
    traffic, sent, changed = [], [], []
    for size in sizes:
        service = _build_shares(size)
        # An exchange with each peer is due about every `size` seconds; measure
        # several complete rounds.
        measured_time = clock.Milliseconds(4000.0 * size)
        service.run(measured_time, _LONG_STEP)
        # Each frame counts twice: one node sends it and another receives it.
        traffic.append(2 * service.byte_count / measured_time.seconds / size)
        sent.append(2 * service.message_count / measured_time.seconds / size)
        at_rest = traffic[-1] * size * _CHANGE_TIME.seconds
        added_bytes = _change_view(service) - at_rest
        changed.append(added_bytes / size / (size - 1))
    per = "instance of the service, for each node without changes"
    return {
        "view_traffic": figures.fit_line("bytes/s", per, sizes, traffic),
        "view_messages": figures.fit_line("messages/s", per, sizes, sent),
        "view_change": figures.fit_line(
            "bytes",
            "instance of the service, for each node and peer, when one leaves",
            sizes,
            changed,
        ),
        "view_exchange": _measure_view_exchange(),
    }


def _change_view(service: share_simulation.SimulatedService) -> float:
    """Return the bytes sent and received after an instance has left."""
    gone = next(iter(service.nodes))
    service.say_goodbye(gone)
    service.publish_list(set(service.nodes))
    service.byte_count = 0
    service.deliver_all()
    service.run(_CHANGE_TIME, _STEP)
    return 2.0 * service.byte_count


def _measure_view_exchange() -> figures.LinearFit:
    first, second, *_ = _build_shares(24).nodes.values()

    def exchange(count: int) -> None:
        for _ in range(count):
            request = first.agreement.build_request(second.instance)
            received = wire.decode(wire.encode(request))
            reply = second.agreement.answer_request(received)
            first.agreement.take_reply(
                second.instance,
                request,
                wire.decode(wire.encode(reply)),
                first.time.now(),
            )

    return _fit_sizes(
        "ms",
        "view exchange without differences in a service of 24, both sides",
        (200, 400, 800),
        lambda n: _measure_time(lambda: exchange(n)),
    )


def _measure_limits() -> dict[str, figures.LinearFit]:
    service = _build_shares(3)
    first, second, _ = service.nodes.values()
    sender = second.identity.build_sender(first.instance)

    def grant(count: int) -> None:
        for _ in range(count):
            first.time.advance(_LEASE_GAP)
            request = messages.LeaseRequest(
                sender, random.randbytes(16), "shops", 1, b"", 2000
            )
            reply = first.limiter.grant(wire.decode(wire.encode(request)))
            wire.decode(wire.encode(reply))

    def take_tokens(count: int) -> Any:
        node = _build_shares(1).nodes["billing-00000"]
        names = [f"organisation-{number}" for number in range(count)]
        node.apply_document(
            9, [share_simulation.build_caller(n) for n in names]
        )
        for name in names:
            node.take(name)
        return node

    return {
        "lease": _fit_sizes(
            "ms",
            "lease request, encoding at both sides and decision of the lender",
            (200, 400, 800),
            lambda n: _measure_time(lambda: grant(n)),
        ),
        "book": _fit_sizes(
            "bytes",
            "token bucket with its lease state",
            (100, 200, 400),
            lambda n: _measure_memory(lambda: take_tokens(n)),
        ),
    }


def _measure_claims() -> dict[str, figures.LinearFit]:
    system = clock.SystemClock()

    def decide(count: int) -> Any:
        network = claims.Network(random.Random(_SEED))
        node = claims.build_nodes(5, system, network)[0]
        for _ in range(count):
            request = messages.ClaimRequest(
                messages.Sender("n1", 2, "n0", 1),
                random.randbytes(16),
                keys.make_key(system),
                "shops",
                random.randbytes(32),
            )
            reply = node.registrar.decide(wire.decode(wire.encode(request)))
            if not reply.granted:
                raise AssertionError(
                    f"claim of an unused key was refused: {reply}"
                )
            wire.decode(wire.encode(reply))
        return node

    sizes = (1000, 2000, 4000)
    return {
        "claim": _fit_sizes(
            "ms",
            "claim decision, with encoding at both sides",
            sizes,
            lambda n: _measure_time(lambda: decide(n)),
        ),
        "grant": _fit_sizes(
            "bytes",
            "grant of an idempotency key",
            sizes,
            lambda n: _measure_memory(lambda: decide(n)),
        ),
    }


def _measure_threads() -> figures.LinearFit:
    former = threading.stack_size(_STACK_BYTES)
    try:
        return _fit_sizes(
            "bytes",
            "persistent connection with a thread",
            (100, 200, 300),
            _measure_connections,
        )
    finally:
        threading.stack_size(former)


def _measure_connections(count: int) -> float:
    """Return the growth of the resident set size with idle connections."""
    before = _read_rss("self")
    pairs = [socket.socketpair() for _ in range(count)]
    waiting = [
        threading.Thread(target=pair[0].recv, args=(1,)) for pair in pairs
    ]
    for thread in waiting:
        thread.start()
    grown = _read_rss("self") - before
    for pair in pairs:
        pair[1].close()
    for thread, pair in zip(waiting, pairs, strict=True):
        thread.join()
        pair[0].close()
    return float(grown)

"""Projection of costs to the planned fleet size."""

from __future__ import annotations

from cyclamenwell.capacity import figures
from cyclamenwell.generated import settings

__all__ = ["build_rows", "build_targets", "compute_projection"]

# Planned fleet and its load. Rates of calls, writes and leases are per node.
NODES = 15_000
SERVICES = 630
ORGANISATIONS = 1_500
KEYS_PER_ORGANISATION = 5
DATA_CENTRES = 11
DATA_CENTRE_NODES = 1_400
SERVICE_INSTANCES = 24
LARGEST_SERVICE = 500
CALLS_PER_SECOND = 140.0  # 2.1 million calls/s over all nodes.
BUSY_FACTOR = 10
WRITES_PER_SECOND = 14.0
CHANGES_PER_SECOND = 45_000 / 86_400
BURST_PER_SECOND = 100 / 10
LIST_CHANGES_PER_SECOND = 4 * (2_700 + 64) / 86_400
LEASES_PER_SECOND = 3.0  # Assumes a few organisations with uneven traffic.
CALLERS_PER_SERVICE = 100  # Assumed number of organisations with a limit.
CONNECTIONS = 200  # Assumed persistent connections of callers, peers.
PAIR_HEADER_BYTES = 3 * 52  # TCP/IP headers of a request and its reply.
RACK_NODES = 40  # Assumed size of a rack.
HOPS = 6
ROUND_TRIP_MS = 150.0  # Assumes that every hop crosses regions.
READ_MS = 200.0
CORE_MS = 1000.0
_MAX_GRANTS = 200_000  # Limit of a registrar.


def compute_projection(measured: figures.Measurements) -> dict[str, float]:
    """Return the projected values at the planned size, by name."""
    slopes = measured.slopes
    peers = settings.PeerSettings()
    platform_wait = 10.0  # Defaults of `watch_wait` and `start_delay`, s.
    readers = DATA_CENTRES * 2
    hop_ms = 1.5 * ROUND_TRIP_MS + slopes["delivery"].slope
    registered = min(WRITES_PER_SECOND * 5 * 300, _MAX_GRANTS)
    limits = settings.LimitSettings()
    per_peer = limits.share_stop.seconds / 3
    pairs = max(1.0, LARGEST_SERVICE / per_peer) / 0.875
    pair_bytes = measured.slopes["view_traffic"].at(SERVICE_INSTANCES) / max(
        measured.slopes["view_messages"].at(SERVICE_INSTANCES) / 2, 1e-9
    )
    views_changed = 4 * 2_764 * LARGEST_SERVICE / NODES / 86_400
    change_bytes = slopes["view_change"].at(LARGEST_SERVICE) * LARGEST_SERVICE
    return {
        "reads_rest": readers * 2 / platform_wait,
        "reads_burst": readers * 2 * 5.0,
        "reads_start": DATA_CENTRE_NODES / platform_wait,
        "reads_start_all": NODES / platform_wait,
        "in_force_ms": READ_MS + HOPS * hop_ms + peers.exchange_interval.value,
        # The pending delivery of the failed sender expires; the next exchange
        # of the node then fetches the document.
        "repair_ms": (peers.call_timeout.value + peers.exchange_interval.value),
        "rack_changes": RACK_NODES,
        "list_ms": slopes["list_time"].at(NODES),
        "grants": registered,
        "busy_registrar_bytes": slopes["grant"].at(
            min(BUSY_FACTOR * WRITES_PER_SECOND * 5 * 300, _MAX_GRANTS)
        ),
        "registrar_bytes": slopes["grant"].at(registered),
        "busy_processor_ms": measured.added_processor_ms
        * CALLS_PER_SECOND
        * BUSY_FACTOR,
        "mean_processor_ms": measured.added_processor_ms * CALLS_PER_SECOND,
        "largest_rest": 2 * pairs * (pair_bytes + PAIR_HEADER_BYTES),
        "largest_change_bytes": change_bytes,
        "largest_changes": views_changed * change_bytes,
    }


def build_rows(
    measured: figures.Measurements, changes: float = CHANGES_PER_SECOND
) -> list[figures.RoleCost]:
    """Return the cost of each role for a node of a service of mean size."""
    slopes, size = measured.slopes, measured.message_bytes
    announced_rate = slopes["announcements"].slope * changes
    delivered_rate = slopes["deliveries"].slope * changes
    listed = LIST_CHANGES_PER_SECOND
    exchange = size["ExchangeRequest"] + size["ExchangeReply"]
    announce = size["AnnounceRequest"] + size["AnnounceReply, known"]
    deliver = size["DeliverRequest"] + size["DeliverReply"]
    listing = announce + size["ListReply"] + size["DeliverReply"]
    lease = size["LeaseRequest"] + size["LeaseReply"]
    claim = size["ClaimRequest"] + size["ClaimReply"]
    view_messages = slopes["view_messages"].at(SERVICE_INSTANCES)
    announced = slopes["announcements"].slope
    grants = WRITES_PER_SECOND * 5 * 300
    claims = 2 * WRITES_PER_SECOND * 5
    documents = slopes["service_document"].at(SERVICES) + slopes[
        "organisation_document"
    ].at(ORGANISATIONS)

    def pair(count: float, frames: float) -> float:
        """Return bytes/s of request-reply pairs, sent plus received."""
        return 2 * count * (frames + PAIR_HEADER_BYTES)

    row = figures.RoleCost
    return [
        row(
            "admission and forwarding",
            "admission control, load balancing, persistent connections "
            "(includes the idle process)",
            "queue, outlier detection",
            0.0,
            0.0,  # Calls are not control traffic; the page lists them apart.
            0.0,
            measured.idle_rss_bytes + slopes["thread"].slope * CONNECTIONS,
        ),
        row(
            "fleet-wide rate limits",
            "live views, share leases",
            "views, token buckets",
            view_messages + 4 * LEASES_PER_SECOND,
            view_messages / 4 * slopes["view_exchange"].slope
            + LEASES_PER_SECOND * slopes["lease"].slope,
            slopes["view_traffic"].at(SERVICE_INSTANCES)
            + view_messages / 2 * PAIR_HEADER_BYTES
            + pair(LEASES_PER_SECOND, lease),
            slopes["book"].at(CALLERS_PER_SERVICE),
        ),
        row(
            "configuration reader",
            "2 in each data centre by rendezvous hashing; long polling",
            "cursor",
            0.4,
            0.0,
            0.0,
            0.0,
        ),
        row(
            "dissemination",
            "overlay of 7 neighbours, announcements, digests",
            "documents, digests",
            4 + 4 * (announced_rate + delivered_rate),
            slopes["exchange"].slope
            + announced_rate * slopes["announcement"].slope
            + changes * slopes["delivery"].slope,
            pair(1, exchange)
            + pair(announced_rate, announce)
            + pair(delivered_rate, deliver),
            documents,
        ),
        row(
            "membership",
            "instance list changes over the same overlay",
            "instance list, load reports",
            4 * listed * (announced + 1),
            listed * slopes["list_time"].at(NODES),
            pair(listed * announced, announce) + pair(listed, listing),
            slopes["listed_memory"].at(NODES),
        ),
        row(
            "at most once",
            "majority quorum of 5 registrars",
            "grants, kept for 300 s",
            2 * claims,
            claims / 2 * slopes["claim"].slope,
            pair(claims / 2, claim),
            slopes["grant"].at(grants)
            + settings.IdempotencySettings().max_kept_bytes,
        ),
        row(
            "audit and metrics",
            "ring buffer of 4,096 entries; pulled by operators",
            "not measured",
            0.0,
            0.0,
            0.0,
            0.0,
        ),
    ]


def build_targets(measured: figures.Measurements) -> list[figures.DesignTarget]:
    """Return all design targets with their projected values."""
    rows = build_rows(measured)
    projected = compute_projection(measured)
    target = figures.DesignTarget
    without_claims = [row for row in rows if row.role != "at most once"]
    percent = 100 / CORE_MS
    processor = sum(row.processor_ms for row in rows)
    memory = sum(row.memory for row in rows) / 2**20
    return [
        target(
            "latency added to a call, p99", "ms", 0.34, measured.added_p99_ms
        ),
        target(
            "cores for forwarding, mean node (one core per node assumed)",
            "cores",
            1.0,
            projected["mean_processor_ms"] / CORE_MS,
        ),
        target(
            "cores for forwarding, busy node with ten times the mean",
            "cores",
            1.0,
            projected["busy_processor_ms"] / CORE_MS,
        ),
        target(
            "control, share of a core, without socket calls",
            "%",
            1.4,
            processor * percent,
        ),
        target(
            "control, share of a core, without socket calls and claims",
            "%",
            1.4,
            sum(row.processor_ms for row in without_claims) * percent,
        ),
        target("memory of a node", "MiB", 128, memory),
        target(
            "memory of a busy node, ten times the claims",
            "MiB",
            128,
            memory
            + (projected["busy_registrar_bytes"] - projected["registrar_bytes"])
            / 2**20,
        ),
        target(
            "control traffic",
            "KB/s",
            6,
            sum(row.traffic for row in rows) / 1000,
        ),
        target(
            "control traffic without claims",
            "KB/s",
            6,
            sum(row.traffic for row in without_claims) / 1000,
        ),
        target(
            "view traffic in a service of 500, with membership changes",
            "KB/s",
            6,
            (projected["largest_rest"] + projected["largest_changes"]) / 1000,
        ),
        target(
            "configuration applied by all nodes",
            "s",
            6,
            projected["in_force_ms"] / 1000,
        ),
        target(
            "configuration applied, if a sender fails during its delivery",
            "s",
            6,
            (projected["in_force_ms"] + projected["repair_ms"]) / 1000,
        ),
        target(
            "instance list applied after the loss of a rack",
            "s",
            6,
            (
                projected["in_force_ms"]
                + projected["list_ms"] * projected["rack_changes"]
            )
            / 1000,
        ),
        target("platform reads, at rest", "1/s", 2000, projected["reads_rest"]),
        target("platform reads, burst", "1/s", 2000, projected["reads_burst"]),
        target(
            "platform reads, a data centre starts",
            "1/s",
            2000,
            projected["reads_burst"] + projected["reads_start"],
        ),
        target(
            "platform reads, all nodes start",
            "1/s",
            2000,
            projected["reads_burst"] + projected["reads_start_all"],
        ),
    ]

"""The planned size worked out from the slopes."""

from __future__ import annotations

from cyclamenwell.capacity import figures
from cyclamenwell.generated import settings

__all__ = ["build_rows", "build_targets", "work_out"]

NODES = 15_000
SERVICES = 630
ORGANISATIONS = 1_500
KEYS_PER_ORGANISATION = 5
DATA_CENTRES = 11
DATA_CENTRE_NODES = 1_400
SERVICE_INSTANCES = 24
LARGEST_SERVICE = 500
CALLS_PER_SECOND = 140.0  # 2.1 million over all nodes.
BUSY = 10
WRITES_PER_SECOND = 14.0
CHANGES_PER_SECOND = 45_000 / 86_400
BURST_PER_SECOND = 100 / 10
LIST_CHANGES_PER_SECOND = 4 * (2_700 + 64) / 86_400
LEASES_PER_SECOND = 3.0  # Assumed: a few organisations with uneven traffic.
CALLERS_PER_SERVICE = 100  # Assumed organisations with a limit.
CONNECTIONS = 200  # Assumed callers and peers that keep a connection.
PAIR_HEADER_BYTES = 3 * 52  # TCP/IP headers of a message pair.
RACK_NODES = 40  # Assumed.
HOPS = 6
ROUND_TRIP_MS = 150.0  # Assumed at every hop, as if all crossed regions.
READ_MS = 200.0
CORE_MS = 1000.0
_MAX_GRANTS = 200_000  # Bound of a registrar.


def work_out(found: figures.Figures) -> dict[str, float]:
    """Return the figures of the planned size that the page names."""
    slopes = found.slopes
    peers = settings.PeerSettings()
    platform_wait = 10.0  # Defaults of `watch_wait` and `start_delay`.
    readers = DATA_CENTRES * 2
    hop_ms = 1.5 * ROUND_TRIP_MS + slopes["delivery"].slope
    registered = min(WRITES_PER_SECOND * 5 * 300, _MAX_GRANTS)
    limits = settings.LimitSettings()
    per_peer = limits.share_stop.seconds / 3
    pairs = max(1.0, LARGEST_SERVICE / per_peer) / 0.875
    pair_bytes = found.slopes["view_traffic"].at(SERVICE_INSTANCES) / max(
        found.slopes["view_messages"].at(SERVICE_INSTANCES) / 2, 1e-9
    )
    views_changed = 4 * 2_764 * LARGEST_SERVICE / NODES / 86_400
    change_bytes = slopes["view_change"].at(LARGEST_SERVICE) * LARGEST_SERVICE
    return {
        "reads_rest": readers * 2 / platform_wait,
        "reads_burst": readers * 2 * 5.0,
        "reads_start": DATA_CENTRE_NODES / platform_wait,
        "reads_start_all": NODES / platform_wait,
        "in_force_ms": READ_MS + HOPS * hop_ms + peers.exchange_interval.value,
        # The claim of the lost sender ends, then an own exchange repairs.
        "repair_ms": (peers.call_timeout.value + peers.exchange_interval.value),
        "rack_changes": RACK_NODES,
        "list_ms": slopes["list_time"].at(NODES),
        "grants": registered,
        "busy_registrar_bytes": slopes["grant"].at(
            min(BUSY * WRITES_PER_SECOND * 5 * 300, _MAX_GRANTS)
        ),
        "registrar_bytes": slopes["grant"].at(registered),
        "busy_processor_ms": found.added_processor_ms * CALLS_PER_SECOND * BUSY,
        "mean_processor_ms": found.added_processor_ms * CALLS_PER_SECOND,
        "largest_rest": 2 * pairs * (pair_bytes + PAIR_HEADER_BYTES),
        "largest_change_bytes": change_bytes,
        "largest_changes": views_changed * change_bytes,
    }


def build_rows(
    found: figures.Figures, changes: float = CHANGES_PER_SECOND
) -> list[figures.Row]:
    """Return what each role costs a node of a service of mean size."""
    slopes, size = found.slopes, found.message_bytes
    spread = slopes["announcements"].slope * changes
    delivered = slopes["deliveries"].slope * changes
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
        """Return bytes/s of pairs that are both sent and received."""
        return 2 * count * (frames + PAIR_HEADER_BYTES)

    row = figures.Row
    return [
        row(
            "admission and forwarding",
            "gate, router, kept connections (the idle process is counted here)",
            "queue, outlier records",
            0.0,
            0.0,  # Calls are no control; the page gives them apart.
            0.0,
            found.idle_rss_bytes + slopes["thread"].slope * CONNECTIONS,
        ),
        row(
            "limits over the fleet",
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
            "2 in each data centre by rendezvous hash; long poll",
            "cursor",
            0.4,
            0.0,
            0.0,
            0.0,
        ),
        row(
            "dissemination",
            "overlay of 7, announcements, digests",
            "documents, digests",
            4 + 4 * (spread + delivered),
            slopes["exchange"].slope
            + spread * slopes["announcement"].slope
            + changes * slopes["delivery"].slope,
            pair(1, exchange)
            + pair(spread, announce)
            + pair(delivered, deliver),
            documents,
        ),
        row(
            "membership",
            "list changes over the same overlay",
            "list, load reports",
            4 * listed * (announced + 1),
            listed * slopes["list_time"].at(NODES),
            pair(listed * announced, announce) + pair(listed, listing),
            slopes["listed_memory"].at(NODES),
        ),
        row(
            "at most once",
            "majority of 5 registrars",
            "grants of 300 s",
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


def build_targets(found: figures.Figures) -> list[figures.Target]:
    """Return each target with the worked-out value."""
    rows = build_rows(found)
    worked = work_out(found)
    target = figures.Target
    without = [row for row in rows if row.role != "at most once"]
    percent = 100 / CORE_MS
    processor = sum(row.processor_ms for row in rows)
    memory = sum(row.memory for row in rows) / 2**20
    return [
        target("added to a call, p99", "ms", 0.34, found.added_p99_ms),
        target(
            "cores for forwarding, mean node (a core each is assumed)",
            "cores",
            1.0,
            worked["mean_processor_ms"] / CORE_MS,
        ),
        target(
            "the same, busy node with ten times the mean",
            "cores",
            1.0,
            worked["busy_processor_ms"] / CORE_MS,
        ),
        target(
            "control, part of a core, socket calls not counted",
            "%",
            1.4,
            processor * percent,
        ),
        target(
            "the same without claims",
            "%",
            1.4,
            sum(row.processor_ms for row in without) * percent,
        ),
        target("memory of a node", "MiB", 128, memory),
        target(
            "memory of a busy node, ten times the claims",
            "MiB",
            128,
            memory
            + (worked["busy_registrar_bytes"] - worked["registrar_bytes"])
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
            sum(row.traffic for row in without) / 1000,
        ),
        target(
            "view traffic in a service of 500, with its changes",
            "KB/s",
            6,
            (worked["largest_rest"] + worked["largest_changes"]) / 1000,
        ),
        target("configuration in force", "s", 6, worked["in_force_ms"] / 1000),
        target(
            "the same, a sender dies after its offer was taken",
            "s",
            6,
            (worked["in_force_ms"] + worked["repair_ms"]) / 1000,
        ),
        target(
            "list in force after the loss of a rack",
            "s",
            6,
            (worked["in_force_ms"] + worked["list_ms"] * worked["rack_changes"])
            / 1000,
        ),
        target("platform reads, at rest", "1/s", 2000, worked["reads_rest"]),
        target("platform reads, burst", "1/s", 2000, worked["reads_burst"]),
        target(
            "platform reads, a data centre starts",
            "1/s",
            2000,
            worked["reads_burst"] + worked["reads_start"],
        ),
        target(
            "platform reads, all nodes start",
            "1/s",
            2000,
            worked["reads_burst"] + worked["reads_start_all"],
        ),
    ]

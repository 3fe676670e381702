"""Tests of the decoding of store items."""

import json

import pytest

from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.peers import codec
from cyclamenwell.platform import decoder
from cyclamenwell.platform import store
from cyclamenwell.platform.tests import builders
from cyclamenwell.routing import host_routes


def test_configuration_is_decoded():
    """Guards against fields that are lost or swapped while decoding."""
    item = decoder.decode_item(
        builders.build_item("op/config", builders.build_configuration_value())
    )
    configuration = item.configuration
    assert configuration.version == 12
    read, pay, opened = configuration.routes
    assert read.host == "meters.example"
    assert read.timeout_ms == 800
    assert read.objective_ms == 1200
    assert read.max_attempts == 3
    assert [part.service for part in read.services] == ["meter"]
    assert [part.weight for part in pay.services] == [90, 10]
    assert pay.objective_ms == 900
    assert pay.kind is enumerations.RequestKind.NON_IDEMPOTENT
    assert opened.is_public
    assert opened.kind is enumerations.RequestKind.UPLOAD
    shops, council = configuration.organisations
    assert shops.keys == ("k1", "k2")
    assert (shops.priority, shops.rate_per_second, shops.burst) == (1, 145, 150)
    assert (council.priority, council.rate_per_second) == (None, 0)
    assert configuration.services[0].cold_start_ms == 3000
    assert configuration.limits.idle_timeout_ms == 15000


def test_target_is_decoded():
    """Guards against a decoded target with a wrong address or state."""
    item = decoder.decode_item(
        builders.build_item("servers/i-1", builders.build_target_value())
    )
    target = item.target
    assert (target.target_id, target.host, target.port) == (
        "i-1",
        "127.0.0.2",
        8547,
    )
    assert target.state is enumerations.InstanceState.SERVING
    assert target.cold_remaining_ms == 250
    assert target.started_ms == 1_700_000_000_123
    assert target.sequence == 4


@pytest.mark.parametrize(
    "value",
    [
        {},
        [],
        None,
        "text",
        builders.build_target_value(address="nowhere"),
        builders.build_target_value(address=7),
        builders.build_target_value(info={"service": "meter"}),
        builders.build_target_value(
            info={"service": 3, "zone": "a", "slots": 5}
        ),
        builders.build_target_value(
            info={"service": "m", "zone": "a", "slots": True}
        ),
        builders.build_target_value(
            info={"service": "m", "zone": "a", "slots": 0}
        ),
        builders.build_target_value(status={"state": "sleeping"}),
        builders.build_target_value(status={"state": ["ready"]}),
        builders.build_target_value(status="ready"),
        builders.build_target_value(
            status={"state": "ready", "cold_remaining_ms": {}}
        ),
    ],
)
def test_malformed_target_entry_is_decoded_without_target(value):
    """Guards against one malformed entry that stops decoding of the others."""
    item = decoder.decode_item(builders.build_item("servers/i-1", value))
    assert item.target is None
    assert item.revision == 5


def build_info(**changes):
    """Return the fixed part of a target entry."""
    values = {"service": "meter", "version": "v1", "zone": "a", "slots": 120}
    return values | changes


def build_status(**changes):
    """Return the changing part of a target entry."""
    return {"state": "ready", "seq": 4, "cold_remaining_ms": 250} | changes


@pytest.mark.parametrize("number", [-1, 10**400])
def test_a_number_of_a_report_out_of_range_costs_no_target(number):
    """Guards against a living target that is not used for its counter."""
    value = builders.build_target_value(status=build_status(seq=number))
    item = decoder.decode_item(builders.build_item("servers/i-1", value))
    assert 0 <= item.target.sequence < 2**63


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "127.0.0.2:99999"},
        {"address": "127.0.0.2:-1"},
        {"address": "127.0.0.2:0"},
        {"address": "nowhere.example:80"},
        {"address": "127.0.0.\ud800:80"},
        {"born": 10**400},
        {"info": build_info(slots=10**300)},
        {"info": build_info(service="\ud800")},
        {"status": build_status(cold_remaining_ms=10**400)},
        {"status": build_status(cold_remaining_ms=float("inf"))},
        {"status": build_status(cold_remaining_ms=float("nan"))},
        {"status": build_status(cold_remaining_ms=-1)},
    ],
)
def test_an_entry_out_of_range_costs_only_itself(changes):
    """Guards against one odd entry that stops a node from following the list.

    What is decoded must also fit into the messages to other nodes.
    """
    items = [
        builders.build_item(
            "servers/i-odd", builders.build_target_value(**changes)
        ),
        builders.build_item("servers/i-1", builders.build_target_value()),
        builders.build_item("servers/\ud800", builders.build_target_value()),
    ]
    body = json.dumps({"items": items, "store_revision": 5}).encode()
    decoded, _ = store.decode_range(200, body)
    odd, sound, _ = decoded.items
    assert odd.target is None
    assert sound.target.target_id == "i-1"
    assert codec.Codec(deployment.WIRE_TYPES).encode(decoded)


@pytest.mark.parametrize(
    "value",
    [10**400, float("inf"), float("nan"), -1, "\ud800"],
    ids=["huge", "infinite", "not-a-number", "negative", "surrogate"],
)
@pytest.mark.parametrize(
    ("table", "column"),
    [
        ("routes", "name"),
        ("routes", "timeout_ms"),
        ("routes", "priority"),
        ("services", "cold_start_s"),
        ("services", "max_connections"),
        ("tenants", "rate_per_s"),
        ("tenants", "burst"),
    ],
)
def test_a_row_out_of_range_costs_only_itself(table, column, value):
    """Guards against one odd row that keeps all others out of force."""
    configuration_value = builders.build_configuration_value()
    columns = configuration_value[table]["columns"]
    if column not in columns:
        columns.append(column)
        for row in configuration_value[table]["rows"]:
            row.append(None)
    configuration_value[table]["rows"][0][columns.index(column)] = value
    item = decoder.decode_item(
        builders.build_item("op/config", configuration_value)
    )
    codec_of_peers = codec.Codec(deployment.WIRE_TYPES)
    reply = deployment.StateExchangeReply(
        "10.0.0.1", 5, 5, deployment.PrefixChanges(-1, 5, (item,))
    )
    assert codec_of_peers.decode(codec_of_peers.encode(reply)) == reply
    assert item.configuration.rejected_entries


@pytest.mark.parametrize("value", ["%%%", "e30", "//79", ""])
def test_bytes_that_are_not_json_are_decoded_without_target(value):
    """Guards against invalid bytes that stop the decoding of other entries."""
    raw = builders.build_item("servers/i-1", {}) | {"value": value}
    assert decoder.decode_item(raw).target is None


def test_evacuation_and_removal():
    """Guards against a data centre that stays evacuated or never is."""
    evacuation = decoder.decode_item(builders.build_item("op/evacuate/a", {}))
    assert evacuation.data_centre_out == "a"
    removal = decoder.decode_item(
        {"key": "op/evacuate/a", "revision": 9, "tombstone": True}
    )
    assert removal.removed
    assert removal.revision == 9


@pytest.mark.parametrize(
    "value",
    [
        {"version": "zz"},
        {},
        builders.build_configuration_value(routes={"columns": ["name"]}),
        builders.build_configuration_value(
            routes={"columns": ["name"], "rows": [["a", "b"]]}
        ),
    ],
)
def test_unreadable_configuration_costs_only_itself(value):
    """Guards against a partly decoded configuration that comes into force.

    An evacuation in the same answer of the store holds.
    """
    items = [
        builders.build_item("op/config", value),
        builders.build_item("op/evacuate/a", {}),
    ]
    body = json.dumps({"items": items, "store_revision": 5}).encode()
    decoded, _ = store.decode_range(200, body)
    configuration, evacuation = decoded.items
    assert configuration.configuration is None
    assert configuration.rejection
    assert evacuation.data_centre_out == "a"


def decode_configuration(**changes):
    """Decode a configuration in which tables are replaced."""
    value = builders.build_configuration_value(**changes)
    return decoder.decode_item(
        builders.build_item("op/config", value)
    ).configuration


def test_download_may_run_again():
    """Guards against downloads that are unknown and therefore not served."""
    configuration = decode_configuration(
        routes=builders.build_table(builders.build_route_row(kind="download"))
    )
    assert configuration.routes[0].kind is enumerations.RequestKind.DOWNLOAD
    assert not configuration.rejected_entries


@pytest.mark.parametrize("kind", ["later-kind", None, 3, ["idempotent"]])
def test_unknown_kind_runs_at_most_once(kind):
    """Guards against one unknown kind that costs the whole configuration."""
    configuration = decode_configuration(
        routes=builders.build_table(
            builders.build_route_row(kind=kind),
            builders.build_route_row(name="other", prefix="/other/"),
        )
    )
    unknown, known = configuration.routes
    assert unknown.kind is enumerations.RequestKind.NON_IDEMPOTENT
    assert unknown.services[0].service == "meter"
    assert known.kind is enumerations.RequestKind.IDEMPOTENT
    assert len(configuration.rejected_entries) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": 7},
        {"service": None, "traffic_split": [{"weight": 1}]},
        {"timeout_ms": "soon"},
        {"max_attempts": {}},
        {"name": 5},
    ],
)
def test_unreadable_route_refuses_its_requests(changes):
    """Guards against requests that take the route with a shorter prefix."""
    configuration = decode_configuration(
        routes=builders.build_table(
            builders.build_route_row(prefix="/read/deep/", **changes),
            builders.build_route_row(),
        )
    )
    deep, read = configuration.routes
    assert (deep.prefix, deep.services) == ("/read/deep/", ())
    assert [part.service for part in read.services] == ["meter"]
    assert len(configuration.rejected_entries) == 1


def test_unreadable_rows_cost_only_themselves():
    """Guards against an older configuration that stays in force."""
    configuration = decode_configuration(
        routes=builders.build_table(
            builders.build_route_row(host=4), builders.build_route_row()
        ),
        services=builders.build_table(
            {"name": "meter", "cold_per_s": 5.0},
            {"name": "desk", "cold_per_s": "some"},
        ),
        tenants=builders.build_table(
            {"name": "shops", "api_keys": ["k1"]},
            {"name": "council", "api_keys": 5},
        ),
        limits={"max_body_bytes": "all"},
    )
    assert [route.name for route in configuration.routes] == ["read"]
    assert [service.name for service in configuration.services] == ["meter"]
    assert [o.name for o in configuration.organisations] == ["shops"]
    assert configuration.limits.max_body_bytes > 0
    assert len(configuration.rejected_entries) == 4


def test_keys_are_needed_although_no_organisation_is_readable():
    """Guards against requests served without a key."""
    configuration = decode_configuration(
        tenants=builders.build_table({"name": "shops", "api_keys": 5})
    )
    assert not configuration.organisations
    assert host_routes.HostTable(configuration).needs_keys


def test_a_revision_that_is_no_number_is_refused():
    """Guards against an item that compares as older or newer than others."""
    item = builders.build_item("servers/i-1", builders.build_target_value())
    with pytest.raises(exceptions.PlatformError, match="no revision"):
        decoder.decode_item(item | {"revision": True})

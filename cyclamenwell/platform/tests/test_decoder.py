"""Tests of the decoding of store items."""

import pytest

from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.platform import decoder
from cyclamenwell.platform.tests import builders


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
def test_unreadable_configuration_is_an_error(value):
    """Guards against a partly decoded configuration that comes into force."""
    with pytest.raises(exceptions.PlatformError):
        decoder.decode_item(builders.build_item("op/config", value))

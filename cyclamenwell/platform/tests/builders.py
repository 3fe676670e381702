"""Builders of settings, store items and configurations of the platform."""

from __future__ import annotations

import base64
from collections.abc import Iterable
import json
from typing import Any

SETTINGS = """
node: "sidecar-a-1"
service: "meter"
ip: "127.0.0.2"
zone: "a"
region: "north"
listen:
  outbound: "127.0.0.2:8548"
  ready: "127.0.0.2:8546"
internal_port_range: [7000, 7015]
seeds: []
bounds: {drain_ms: 1500, grace_s: 6.5, quota_slack: 7, unknown_bound: 1}
app_addr: "127.0.0.2:8547"
provider: {address: "127.0.0.1:8545", reads_per_s: 2000}
unknown_field: {nested: true}
"""


def encode_value(value: Any) -> str:
    """Encode a value as the store does: JSON in base64."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def build_item(key: str, value: Any, revision: int = 5) -> dict[str, Any]:
    """Build an item of the store."""
    return {
        "key": key,
        "value": encode_value(value),
        "revision": revision,
        "created_rev": revision,
        "lease": 0,
    }


def build_target_value(**changes: Any) -> dict[str, Any]:
    """Build the value that a target publishes about itself."""
    value = {
        "address": "127.0.0.2:8547",
        "born": 1_700_000_000_123,
        "info": {
            "service": "meter",
            "version": "v1",
            "zone": "a",
            "slots": 120,
        },
        "status": {"state": "ready", "seq": 4, "cold_remaining_ms": 250},
    }
    value.update(changes)
    return value


def build_table(*rows: dict[str, Any]) -> dict[str, Any]:
    """Build a table in the column format of the platform.

    Fields that a row does not have are null.
    """
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {
        "columns": columns,
        "rows": [[row.get(name) for name in columns] for row in rows],
    }


# Status that a target publishes when it starts draining and after its return.
LEAVING_STATUS: dict[str, Any] = {"state": "draining", "seq": 2}
SERVING_STATUS: dict[str, Any] = {"state": "ready", "seq": 3}


def build_services(
    service_names: Iterable[str], cold_per_second: float
) -> dict[str, Any]:
    """Build a table of services that have the same properties."""
    return build_table(
        *(
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 820,
                "cold_start_s": 1.0,
                "cold_per_s": cold_per_second,
            }
            for name in service_names
        )
    )


def build_route_row(**changes: Any) -> dict[str, Any]:
    """Build the row of a plain route."""
    row = {
        "name": "read",
        "host": "Meters.Example",
        "prefix": "/read/",
        "kind": "idempotent",
        "timeout_ms": 800,
        "target_latency_ms": 1200,
        "priority": 2,
        "max_attempts": 3,
        "public": False,
        "service": "meter",
    }
    return row | changes


def build_configuration_value(
    version: str = "0000000c", **changes: Any
) -> dict[str, Any]:
    """Build a configuration with a plain, a split and a public route."""
    route = build_route_row()
    split = {
        "name": "pay",
        "host": "meters.example",
        "prefix": "/pay/",
        "kind": "non_idempotent",
        "timeout_ms": 900,
        "priority": 0,
        "max_attempts": 2,
        "traffic_split": [
            {"service": "meter", "weight": 90},
            {"service": "billing", "weight": 10},
        ],
    }
    value = {
        "version": version,
        "routes": build_table(
            route,
            split,
            route
            | {
                "name": "open",
                "prefix": "/read/open/",
                "public": True,
                "kind": "upload",
            },
        ),
        "services": build_table(
            {
                "name": "meter",
                "health_path": "/health",
                "max_connections": 820,
                "cold_start_s": 3.0,
                "cold_per_s": 25.0,
            }
        ),
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": build_table(
            {
                "name": "shops",
                "api_keys": ["k1", "k2"],
                "priority": 1,
                "rate_per_s": 145,
                "burst": 150,
            },
            {"name": "council", "api_keys": ["k3"]},
        ),
    }
    value.update(changes)
    return value

"""Builders of test data that several packages use."""

from __future__ import annotations

import random
import socket
from typing import Any

from cyclamenwell.documents import parser
from cyclamenwell.generated import documents
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.keys import authenticator
from cyclamenwell.settings import node_settings

__all__ = [
    "build_fleet_text",
    "build_instance",
    "build_organisation_text",
    "build_service",
    "build_service_text",
    "build_settings",
    "build_settings_text",
    "find_free_ports",
]

# A node refuses idempotency keys created within `max_clock_skew` after its
# start, so the default would delay the tests.
_SHORT_SKEW = """
idempotency:
  max_clock_skew: 100
"""

# A node has no share until all leases of an earlier process have expired.
_SHORT_LEASES = """
limits:
  lease_duration: 200
  lease_margin: 20
"""


# Below the ephemeral port range, from which an outgoing connection could take a
# port between its choice and its use.
_FIRST_PORT, _LAST_PORT = 12_000, 30_000
_allocated_ports: set[int] = set()


def find_free_ports(count: int) -> list[int]:
    """Return free loopback ports that this function has not returned before."""
    source = random.SystemRandom()
    found: list[int] = []
    while len(found) < count:
        port = source.randint(_FIRST_PORT, _LAST_PORT)
        if port not in _allocated_ports and _is_free(port):
            _allocated_ports.add(port)
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def build_service_text(
    service: str = "billing",
    organisation: str = "shops",
    rate: float = 1000,
    burst: float = 100,
    extra: str = "",
) -> str:
    """Return a service document with a GET, a POST and an open route."""
    return f"""\
service: {service}
owner: team-{service}
routes:
  - path: /accounts/{{id}}
    methods: [GET]
    idempotent: true
  - path: /charges
    methods: [POST]
    importance: critical
  - path: /about
    methods: [GET]
    idempotent: true
    open_to_all: true
callers:
  - organisation: {organisation}
    rate_per_second: {rate}
    burst: {burst}
{extra}"""


def build_service(**values: Any) -> documents.ServiceDocument:
    """Return the parsed document of `build_service_text`."""
    text = build_service_text(**values)
    name = f"service/{values.get('service', 'billing')}"
    return parser.parse_document(name, 1, text).content


def build_organisation_text(organisation: str, *keys: str) -> str:
    """Return an organisation document with the digests of the given keys."""
    if not keys:
        return f"organisation: {organisation}\n"
    lines = "".join(
        f"  - digest: {authenticator.compute_digest(key).hex()}\n"
        for key in keys
    )
    return f"organisation: {organisation}\nkeys:\n{lines}"


def build_fleet_text(*data_centres_out: str) -> str:
    """Return a fleet document that takes data centres out of service."""
    return f"data_centres_out: [{', '.join(data_centres_out)}]\n"


def build_instance(**values: Any) -> messages.InstanceEntry:
    """Return an entry of the instance list, with defaults."""
    defaults = {
        "instance": "billing-1",
        "service": "billing",
        "data_centre": "dc-a",
        "region": "r-1",
        "host": "127.0.0.1",
        "caller_port": 1,
        "peer_port": 2,
    }
    return messages.InstanceEntry(**{**defaults, **values})


def build_settings(
    entry: messages.InstanceEntry,
    platform_port: int,
    target_port: int,
    other_ports: tuple[int, int],
    extra: str = "",
    target_extra: str = "",
) -> settings.NodeSettings:
    """Return the node settings of a listed instance.

    Parameters
    ----------
    entry : messages.InstanceEntry
        Entry of the instance.
    platform_port, target_port : int
        Loopback ports of platform and target.
    other_ports : tuple of int
        Target-side port and operations port.
    extra : str
        Additional sections, as YAML.
    target_extra : str
        Additional lines of the target section, as YAML.
    """
    text = build_settings_text(
        entry, platform_port, target_port, other_ports, extra, target_extra
    )
    return node_settings.parse_settings(text, "settings.yaml")


def build_settings_text(
    entry: messages.InstanceEntry,
    platform_port: int,
    target_port: int,
    other_ports: tuple[int, int],
    extra: str = "",
    target_extra: str = "",
) -> str:
    """Return the settings of `build_settings` as YAML text."""
    text = f"""\
instance:
  name: {entry.instance}
  service: {entry.service}
  data_centre: {entry.data_centre}
  region: {entry.region}
  host: {entry.host}
  caller_port: {entry.caller_port}
  peer_port: {entry.peer_port}
  target_side_port: {other_ports[0]}
  operations_port: {other_ports[1]}
target:
  port: {target_port}
{target_extra}platform:
  url: http://127.0.0.1:{platform_port}
  start_delay: 100
{extra}"""
    if "limits:" not in extra:
        text += _SHORT_LEASES
    if "idempotency:" not in extra:
        text += _SHORT_SKEW
    return text

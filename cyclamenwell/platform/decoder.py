"""Decoding of store items into generated types."""

from __future__ import annotations

import base64
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import ipaddress
import json
from typing import Any
from typing import TypeVar

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.platform import names

__all__ = ["decode_item"]

_REQUEST_KINDS = {
    "idempotent": enumerations.RequestKind.IDEMPOTENT,
    "non_idempotent": enumerations.RequestKind.NON_IDEMPOTENT,
    "upload": enumerations.RequestKind.UPLOAD,
    "download": enumerations.RequestKind.DOWNLOAD,
}
_INSTANCE_STATES = {
    "ready": enumerations.InstanceState.SERVING,
    "draining": enumerations.InstanceState.LEAVING,
}
# Requests of a route that cannot be decoded are refused at once, so the value
# only has to be valid.
_UNREADABLE_ROUTE_TIMEOUT = clock.Milliseconds(1000)
_DECODING_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
# Largest values that the messages between nodes carry.
_MAX_INTEGER = 2**31 - 1
_MAX_LONG = 2**63 - 1
_MAX_NUMBER = 1e15
_MAX_PORT = 65535
# Length to which an entry is cut in the description of its rejection.
_MAX_ENTRY_CHARACTERS = 60
_Decoded = TypeVar("_Decoded")


def decode_item(raw: Mapping[str, Any]) -> deployment.PublishedItem:
    """Decode an item or a watch event of the store.

    Parameters
    ----------
    raw : mapping
        JSON object with the key, the revision, and the value or a tombstone.

    Returns
    -------
    deployment.PublishedItem
        The item. If its value is unreadable, it holds nothing but the reason.

    Raises
    ------
    exceptions.PlatformError
        If the key or the revision is missing.
    """
    key, revision = raw.get("key"), raw.get("revision")
    if not isinstance(key, str) or not _is_integer(revision):
        raise exceptions.PlatformError(f"item has no key or no revision: {raw}")
    key = _escape(key)
    if raw.get("tombstone"):
        return deployment.PublishedItem(key, revision, removed=True)
    if key.startswith(names.EVACUATION_PREFIX):
        return deployment.PublishedItem(
            key, revision, data_centre_out=key[len(names.EVACUATION_PREFIX) :]
        )
    try:
        return _decode_value(key, revision, raw)
    except _DECODING_ERRORS as error:
        # One unreadable value must not cost the other items of an answer.
        rejection = _escape(repr(error))[:_MAX_ENTRY_CHARACTERS]
        return deployment.PublishedItem(key, revision, rejection=rejection)


def _decode_value(
    key: str, revision: int, raw: Mapping[str, Any]
) -> deployment.PublishedItem:
    if key == names.CONFIGURATION_KEY:
        return deployment.PublishedItem(
            key, revision, configuration=_decode_configuration(raw)
        )
    if key.startswith(names.TARGET_PREFIX):
        target_id = key[len(names.TARGET_PREFIX) :]
        return deployment.PublishedItem(
            key, revision, target=_decode_target(target_id, _load_value(raw))
        )
    return deployment.PublishedItem(key, revision)


def _is_integer(value: object) -> bool:
    # isinstance() would accept JSON's true, since bool is a subclass of int.
    return type(value) is int


def _read_integer(
    value: Any, minimum: int = 0, maximum: int = _MAX_INTEGER
) -> int:
    """Return an integer, or raise ValueError if it is out of range."""
    number = int(value)
    if not minimum <= number <= maximum:
        raise ValueError(f"must be from {minimum} to {maximum}")
    return number


def _read_number(value: Any) -> float:
    """Return a number, or raise ValueError if it is out of range."""
    number = float(value)
    if not 0.0 <= number <= _MAX_NUMBER:  # Not a number compares as false.
        raise ValueError(f"must be from 0 to {_MAX_NUMBER:g}")
    return number


def _load_value(raw: Mapping[str, Any]) -> Any:
    return json.loads(base64.b64decode(raw["value"], validate=True))


def _decode_target(
    target_id: str, value: Mapping[str, Any]
) -> deployment.TargetEntry:
    info, status = value["info"], value["status"]
    host, _, port = value["address"].rpartition(":")
    born = value.get("born", 0)
    if not all(map(_is_integer, (info["slots"], status["seq"], born))):
        raise TypeError("slots, seq and born must be integers")
    cold_remaining = status["cold_remaining_ms"]
    if type(cold_remaining) not in (int, float):
        raise TypeError("cold_remaining_ms must be a number")
    _check_text(info["version"])
    return deployment.TargetEntry(
        target_id=target_id,
        service=_check_text(info["service"]),
        host=str(ipaddress.IPv4Address(host)),
        port=_read_integer(port, 1, _MAX_PORT),
        data_centre=_check_text(info["zone"]),
        slots=_read_integer(info["slots"], 1),
        state=_INSTANCE_STATES[status["state"]],
        cold_remaining_ms=_read_number(cold_remaining),
        started_ms=_read_integer(born, maximum=_MAX_LONG),
        sequence=min(max(status["seq"], 0), _MAX_LONG),
    )


def _decode_configuration(raw: Mapping[str, Any]) -> deployment.Configuration:
    """Decode a configuration.

    An entry that cannot be decoded costs only itself: an older configuration
    that stays in force instead would break every other change.
    """
    rejected: list[str] = []
    value = _load_value(raw)
    organisations = list(_read_rows(value, "tenants"))
    return deployment.Configuration(
        version=_read_integer(int(value["version"], 16), maximum=_MAX_LONG),
        routes=_decode_rows(
            _read_rows(value, "routes"), _decode_route, rejected
        ),
        services=_decode_rows(
            _read_rows(value, "services"), _decode_service, rejected
        ),
        organisations=_decode_rows(
            organisations, _decode_organisation, rejected
        ),
        limits=_decode_limits(value.get("limits") or {}, rejected),
        needs_keys=bool(organisations),
        rejected_entries=tuple(rejected),
    )


def _read_rows(value: Mapping[str, Any], name: str) -> Iterator[dict[str, Any]]:
    """Yield the rows of a table as dictionaries, without null fields."""
    table = value.get(name)
    if not table:
        return
    columns = table["columns"]
    for row in table["rows"]:
        yield {
            column: field
            for column, field in zip(columns, row, strict=True)
            if field is not None
        }


def _decode_rows(
    rows: Iterable[Mapping[str, Any]],
    decode_row: Callable[[Mapping[str, Any], list[str]], _Decoded],
    rejected: list[str],
) -> tuple[_Decoded, ...]:
    """Decode the rows of a table; leave out and note those that fail.

    Parameters
    ----------
    rows : iterable of mapping
        Rows of the table.
    decode_row : callable
        Decodes one row; notes what it decodes only in part.
    rejected : list of str
        Receives a description of each rejected entry.
    """
    decoded = []
    for row in rows:
        try:
            decoded.append(decode_row(row, rejected))
        except _DECODING_ERRORS as error:
            rejected.append(_describe_rejection(row, error))
    return tuple(decoded)


def _describe_rejection(row: Mapping[str, Any], reason: object) -> str:
    name = _escape(row.get("name"))[:_MAX_ENTRY_CHARACTERS]
    return f"{name}: {_escape(reason)[:_MAX_ENTRY_CHARACTERS]}"


def _escape(value: object) -> str:
    """Return a text that messages can carry: lone surrogates are escaped."""
    return str(value).encode(errors="backslashreplace").decode()


def _decode_route(
    row: Mapping[str, Any], rejected: list[str]
) -> deployment.Route:
    """Decode a route.

    A route without a readable destination is kept without services, so that
    its requests are refused instead of taking a route with a shorter prefix.
    """
    try:
        return _decode_complete_route(row, rejected)
    except _DECODING_ERRORS as error:
        refusing = deployment.Route(
            name=_escape(row.get("name", "")),
            host=_check_text(row["host"]).lower(),
            prefix=_check_text(row["prefix"]),
            timeout_ms=_UNREADABLE_ROUTE_TIMEOUT.value,
            objective_ms=_UNREADABLE_ROUTE_TIMEOUT.value,
        )
        rejected.append(_describe_rejection(row, f"no destination: {error!r}"))
        return refusing


def _check_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"got {value!r}, must be text")
    value.encode()  # Lone surrogates fit into no message.
    return value


def _decode_complete_route(
    row: Mapping[str, Any], rejected: list[str]
) -> deployment.Route:
    parts = row.get("traffic_split") or [{"service": row["service"]}]
    kind = row.get("kind")
    if not isinstance(kind, str) or kind not in _REQUEST_KINDS:
        # Such a request may run once at most, which is safe for any kind.
        rejected.append(_describe_rejection(row, f"unknown kind {kind!r}"))
    return deployment.Route(
        name=_check_text(row["name"]),
        host=_check_text(row["host"]).lower(),
        prefix=_check_text(row["prefix"]),
        kind=_REQUEST_KINDS.get(
            str(kind), enumerations.RequestKind.NON_IDEMPOTENT
        ),
        timeout_ms=_read_number(row["timeout_ms"]),
        objective_ms=_read_number(
            row.get("target_latency_ms") or row["timeout_ms"]
        ),
        priority=_read_integer(row.get("priority", 0)),
        services=tuple(
            deployment.WeightedService(
                _check_text(part["service"]),
                _read_number(part.get("weight", 1)),
            )
            for part in parts
        ),
        max_attempts=max(_read_integer(row.get("max_attempts", 1)), 1),
        is_public=bool(row.get("public", False)),
    )


def _decode_service(
    row: Mapping[str, Any], rejected: list[str]
) -> deployment.ServiceInfo:
    del rejected
    return deployment.ServiceInfo(
        name=_check_text(row["name"]),
        health_path=_check_text(row.get("health_path", "")),
        max_connections=_read_integer(row.get("max_connections", 0)),
        cold_start_ms=_read_number(row.get("cold_start_s", 0)) * 1000.0,
        cold_rate_per_second=_read_number(row.get("cold_per_s", 0)),
    )


def _decode_organisation(
    row: Mapping[str, Any], rejected: list[str]
) -> deployment.Organisation:
    del rejected
    priority = row.get("priority")
    return deployment.Organisation(
        name=_check_text(row["name"]),
        keys=tuple(map(_check_text, row.get("api_keys", ()))),
        priority=None if priority is None else _read_integer(priority),
        rate_per_second=_read_number(row.get("rate_per_s", 0)),
        burst=_read_number(row.get("burst", 0)),
    )


def _decode_limits(
    raw: Mapping[str, Any], rejected: list[str]
) -> deployment.ClientLimits:
    try:
        return _decode_complete_limits(raw)
    except _DECODING_ERRORS as error:
        rejected.append(f"limits: {error!r}"[:_MAX_ENTRY_CHARACTERS])
        return deployment.ClientLimits()


def _decode_complete_limits(
    raw: Mapping[str, Any],
) -> deployment.ClientLimits:
    default = deployment.ClientLimits()
    return deployment.ClientLimits(
        max_header_bytes=_read_integer(
            raw.get("max_header_bytes") or default.max_header_bytes
        ),
        max_body_bytes=_read_integer(
            raw.get("max_body_bytes") or default.max_body_bytes
        ),
        header_timeout_ms=_read_number(
            raw.get("header_timeout_ms") or default.header_timeout_ms
        ),
        idle_timeout_ms=_read_number(
            raw.get("idle_timeout_ms") or default.idle_timeout_ms
        ),
    )

"""Decoding of store items into generated types."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
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
_DECODING_ERRORS = (AttributeError, KeyError, TypeError, ValueError)
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
        The item. If the entry of a target is unreadable, `target` is None.

    Raises
    ------
    exceptions.PlatformError
        If the key or the revision is missing, or a configuration is
        unreadable.
    """
    key, revision = raw.get("key"), raw.get("revision")
    if not isinstance(key, str) or not _is_integer(revision):
        raise exceptions.PlatformError(f"item has no key or no revision: {raw}")
    if raw.get("tombstone"):
        return deployment.PublishedItem(key, revision, removed=True)
    if key.startswith(names.EVACUATION_PREFIX):
        return deployment.PublishedItem(
            key, revision, data_centre_out=key[len(names.EVACUATION_PREFIX) :]
        )
    if key == names.CONFIGURATION_KEY:
        return deployment.PublishedItem(
            key, revision, configuration=_decode_configuration(raw)
        )
    if key.startswith(names.TARGET_PREFIX):
        target_id = key[len(names.TARGET_PREFIX) :]
        return deployment.PublishedItem(
            key, revision, target=_decode_target(target_id, raw)
        )
    return deployment.PublishedItem(key, revision)


def _is_integer(value: object) -> bool:
    # isinstance() would accept JSON's true, since bool is a subclass of int.
    return type(value) is int


def _is_number(value: object) -> bool:
    return type(value) in (int, float)


def _load_value(raw: Mapping[str, Any]) -> Any:
    return json.loads(base64.b64decode(raw["value"], validate=True))


def _decode_target(
    target_id: str, raw: Mapping[str, Any]
) -> deployment.TargetEntry | None:
    """Decode the entry of a target.

    Returns None if another writer left an entry that is unreadable, so that
    one entry does not prevent the decoding of the others.
    """
    try:
        value = _load_value(raw)
        info, status = value["info"], value["status"]
        host, _, port = value["address"].rpartition(":")
        born = value.get("born", 0)
        is_readable = (
            bool(host)
            and all(
                isinstance(info[name], str)
                for name in ("service", "version", "zone")
            )
            and all(map(_is_integer, (info["slots"], status["seq"], born)))
            and _is_number(status["cold_remaining_ms"])
        )
        if not is_readable or info["slots"] < 1:
            return None
        return deployment.TargetEntry(
            target_id=target_id,
            service=info["service"],
            host=host,
            port=int(port),
            data_centre=info["zone"],
            slots=info["slots"],
            state=_INSTANCE_STATES[status["state"]],
            cold_remaining_ms=float(status["cold_remaining_ms"]),
            started_ms=born,
        )
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        binascii.Error,
        RecursionError,
    ):
        return None


def _decode_configuration(raw: Mapping[str, Any]) -> deployment.Configuration:
    """Decode a configuration.

    An entry that cannot be decoded costs only itself: an older configuration
    that stays in force instead would break every other change.
    """
    rejected: list[str] = []
    try:
        value = _load_value(raw)
        organisations = list(_read_rows(value, "tenants"))
        return deployment.Configuration(
            version=int(value["version"], 16),
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
    except (*_DECODING_ERRORS, RecursionError) as error:
        raise exceptions.PlatformError(
            f"cannot decode the configuration: {error!r}"
        ) from error


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
    name = str(row.get("name"))[:_MAX_ENTRY_CHARACTERS]
    return f"{name}: {str(reason)[:_MAX_ENTRY_CHARACTERS]}"


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
            name=str(row.get("name", "")),
            host=row["host"].lower(),
            prefix=_check_text(row["prefix"]),
            timeout_ms=_UNREADABLE_ROUTE_TIMEOUT.value,
            objective_ms=_UNREADABLE_ROUTE_TIMEOUT.value,
        )
        rejected.append(_describe_rejection(row, f"no destination: {error!r}"))
        return refusing


def _check_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"got {value!r}, must be text")
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
        host=row["host"].lower(),
        prefix=_check_text(row["prefix"]),
        kind=_REQUEST_KINDS.get(
            str(kind), enumerations.RequestKind.NON_IDEMPOTENT
        ),
        timeout_ms=float(row["timeout_ms"]),
        objective_ms=float(row.get("target_latency_ms") or row["timeout_ms"]),
        priority=int(row.get("priority", 0)),
        services=tuple(
            deployment.WeightedService(
                _check_text(part["service"]), float(part.get("weight", 1))
            )
            for part in parts
        ),
        max_attempts=max(int(row.get("max_attempts", 1)), 1),
        is_public=bool(row.get("public", False)),
    )


def _decode_service(
    row: Mapping[str, Any], rejected: list[str]
) -> deployment.ServiceInfo:
    del rejected
    return deployment.ServiceInfo(
        name=_check_text(row["name"]),
        health_path=_check_text(row.get("health_path", "")),
        max_connections=int(row.get("max_connections", 0)),
        cold_start_ms=float(row.get("cold_start_s", 0)) * 1000.0,
        cold_rate_per_second=float(row.get("cold_per_s", 0)),
    )


def _decode_organisation(
    row: Mapping[str, Any], rejected: list[str]
) -> deployment.Organisation:
    del rejected
    priority = row.get("priority")
    return deployment.Organisation(
        name=_check_text(row["name"]),
        keys=tuple(map(_check_text, row.get("api_keys", ()))),
        priority=None if priority is None else int(priority),
        rate_per_second=float(row.get("rate_per_s", 0)),
        burst=float(row.get("burst", 0)),
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
        max_header_bytes=int(
            raw.get("max_header_bytes") or default.max_header_bytes
        ),
        max_body_bytes=int(raw.get("max_body_bytes") or default.max_body_bytes),
        header_timeout_ms=float(
            raw.get("header_timeout_ms") or default.header_timeout_ms
        ),
        idle_timeout_ms=float(
            raw.get("idle_timeout_ms") or default.idle_timeout_ms
        ),
    )

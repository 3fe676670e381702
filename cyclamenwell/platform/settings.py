"""Parsing of the settings file written by the platform."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import pathlib
from typing import Any

import yaml

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import sidecar

__all__ = ["read_settings"]

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
# The platform assigns each node a range of ports for traffic between nodes. The
# first port receives messages, the last one serves metrics.
_DEFAULT_PORTS = (7000, 7015)
_DEFAULT_READS_PER_SECOND = 1000.0


def read_settings(path: pathlib.Path) -> sidecar.SidecarSettings:
    """Read the settings file of a sidecar process.

    Parameters
    ----------
    path : pathlib.Path
        YAML file. Unknown fields are ignored, since the platform may add
        fields.

    Returns
    -------
    sidecar.SidecarSettings
        The settings.

    Raises
    ------
    exceptions.SettingsError
        If the file is unreadable, or a required field is missing or has the
        wrong type.
    """
    try:
        raw = yaml.load(path.read_text("utf-8"), Loader=_Loader)
    except (OSError, ValueError, yaml.YAMLError) as error:
        raise exceptions.SettingsError((f"{path}: {error}",)) from error
    if not isinstance(raw, Mapping):
        raise exceptions.SettingsError((f"{path}: must be a mapping",))
    return _Decoder(path, raw).decode()


class _Decoder:
    """Decodes the fields of one file; errors name the file and the field."""

    def __init__(self, path: pathlib.Path, raw: Mapping[str, Any]) -> None:
        self._path = path
        self._raw = raw

    def decode(self) -> sidecar.SidecarSettings:
        listen = self._read_mapping(self._raw, "listen")
        provider = self._read_mapping(self._raw, "provider")
        first_port, last_port = self._read_ports()
        ready = listen.get("ready")
        return sidecar.SidecarSettings(
            name=self._read_text(self._raw, "node"),
            service=self._read_text(self._raw, "service"),
            data_centre=self._read_text(self._raw, "zone"),
            region=str(self._raw.get("region") or ""),
            host=self._read_text(self._raw, "ip"),
            caller_address=self._read_address(listen, "outbound"),
            ready_address=(
                self._read_address(listen, "ready")
                if ready
                else sidecar.SocketAddress()
            ),
            peer_port=first_port,
            metrics_port=last_port,
            target_address=self._read_address(self._raw, "app_addr"),
            seeds=tuple(
                self._split_address(str(seed), "seeds")
                for seed in self._read_list(self._raw, "seeds", ())
            ),
            store=sidecar.StoreSettings(
                address=self._read_address(provider, "address"),
                reads_per_second=self._read_rate(provider, "reads_per_s"),
            ),
            bounds=self._decode_bounds(),
            **self._decode_limits(),
        )

    def _decode_limits(self) -> dict[str, Any]:
        """Return the limits of the process that are stated."""
        raw: Mapping[str, Any] = {}
        if self._raw.get("limits") is not None:
            raw = self._read_mapping(self._raw, "limits")
        limits: dict[str, Any] = {}
        if _is_positive(raw.get("memory_mb")):
            limits["memory_mb"] = float(raw["memory_mb"])
        if _is_positive(raw.get("max_fds")):
            limits["max_descriptors"] = int(raw["max_fds"])
        return limits

    def _decode_bounds(self) -> sidecar.Bounds:
        """Return the bounds; missing ones get the defaults of the schema."""
        raw: Mapping[str, Any] = {}
        if self._raw.get("bounds") is not None:
            raw = self._read_mapping(self._raw, "bounds")
        milliseconds = {
            "grace": (raw.get("grace_s"), 1000.0),
            "retry_window": (raw.get("budget_window_s"), 1000.0),
            "limit_window": (raw.get("quota_window_s"), 1000.0),
            "reappearance": (raw.get("reuse_after_s"), 1000.0),
        }
        numbers = {
            "retry_ratio": raw.get("retry_budget_ratio"),
            "retry_slack": raw.get("budget_slack"),
            "limit_excess": raw.get("quota_overshoot"),
            "limit_slack": raw.get("quota_slack"),
            "cold_excess": raw.get("cold_overshoot"),
            "cold_slack": raw.get("cold_slack"),
        }
        values: dict[str, Any] = {}
        for name, (value, factor) in milliseconds.items():
            if _is_number(value):
                values[name] = clock.Milliseconds(value * factor)
        for name, value in numbers.items():
            if _is_number(value):
                values[name] = float(value)
        return sidecar.Bounds(**values)

    def _read_mapping(
        self, mapping: Mapping[str, Any], name: str
    ) -> Mapping[str, Any]:
        value = mapping.get(name)
        if not isinstance(value, Mapping):
            raise self._build_error(name, value, "a mapping")
        return value

    def _read_list(
        self, mapping: Mapping[str, Any], name: str, default: Sequence[Any]
    ) -> Sequence[Any]:
        value = mapping.get(name)
        if value is None:
            return default
        if not isinstance(value, list):
            raise self._build_error(name, value, "a list")
        return value

    def _read_ports(self) -> tuple[int, int]:
        """Return the first and the last port for traffic between nodes."""
        name = "internal_port_range"
        ports = self._read_list(self._raw, name, _DEFAULT_PORTS)
        if not ports or not all(type(port) is int for port in ports):
            raise self._build_error(name, ports, "two port numbers")
        return ports[0], ports[-1]

    def _read_rate(self, mapping: Mapping[str, Any], name: str) -> float:
        value = mapping.get(name)
        if value is None:
            return _DEFAULT_READS_PER_SECOND
        if not _is_positive(value):
            raise self._build_error(name, value, "a positive number")
        return float(value)

    def _read_text(self, mapping: Mapping[str, Any], name: str) -> str:
        value = mapping.get(name)
        if not isinstance(value, str) or not value:
            raise self._build_error(name, value, "a string")
        return value

    def _read_address(
        self, mapping: Mapping[str, Any], name: str
    ) -> sidecar.SocketAddress:
        return self._split_address(self._read_text(mapping, name), name)

    def _split_address(self, value: str, name: str) -> sidecar.SocketAddress:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            raise self._build_error(name, value, "an IP address with a port")
        return sidecar.SocketAddress(host, int(port))

    def _build_error(
        self, name: str, value: object, expected: str
    ) -> exceptions.SettingsError:
        return exceptions.SettingsError(
            (f"{self._path}: {name}: got {value!r}, must be {expected}",)
        )


def _is_positive(value: object) -> bool:
    return _is_number(value) and value > 0


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)

"""Parsing and validation of the settings file of a node."""

from __future__ import annotations

import pathlib

from cyclamenwell import exceptions
from cyclamenwell.generated import settings
from cyclamenwell.schema import reader

__all__ = ["load_settings", "parse_settings"]


def parse_settings(text: str, source: str) -> settings.NodeSettings:
    """Parse the settings of a node.

    Parameters
    ----------
    text : str
        YAML text.
    source : str
        Name of the file for error messages.

    Returns
    -------
    settings.NodeSettings
        Validated settings.

    Raises
    ------
    exceptions.SettingsError
        If a field is unknown, missing, of the wrong type or out of range, or
        if fields contradict each other.
    """
    loaded = reader.read_struct(
        settings.NodeSettings, text, source, exceptions.SettingsError
    )
    problems = tuple(
        f"{source}: {problem}" for problem in _find_conflicts(loaded)
    )
    if problems:
        raise exceptions.SettingsError(problems)
    return loaded


def load_settings(path: pathlib.Path) -> settings.NodeSettings:
    """Read the settings file of a node.

    Raises
    ------
    exceptions.SettingsError
        If the file is unreadable, and in the cases listed for
        `parse_settings`.
    """
    text = reader.read_text(path, exceptions.SettingsError)
    return parse_settings(text, str(path))


def _find_conflicts(loaded: settings.NodeSettings) -> list[str]:
    """Return the problems that the schema cannot express."""
    problems = []
    ports = (
        loaded.instance.caller_port,
        loaded.instance.peer_port,
        loaded.instance.target_side_port,
        loaded.instance.operations_port,
    )
    if len(set(ports)) < len(ports):
        problems.append("instance: the four ports must differ")
    if loaded.limits.share_stop >= loaded.limits.share_hold:
        problems.append("limits.share_stop: must be below limits.share_hold")
    if loaded.platform.min_backoff > loaded.platform.max_backoff:
        problems.append("platform.min_backoff: must not exceed max_backoff")
    for seed in loaded.peers.seeds:
        host, _, port = seed.rpartition(":")
        if not host or not port.isdigit():
            problems.append(f"peers.seeds: got {seed!r}, must be host:port")
    return problems

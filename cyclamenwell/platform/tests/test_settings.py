"""Tests of the parsing of the platform's settings file."""

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.platform import settings
from cyclamenwell.platform.tests import builders


def write_settings(tmp_path, text):
    path = tmp_path / "local.yaml"
    path.write_text(text, "utf-8")
    return path


def test_known_fields_are_read_and_others_ignored(tmp_path):
    """Guards against a node that fails on fields of a newer platform."""
    read = settings.read_settings(write_settings(tmp_path, builders.SETTINGS))
    assert read.name == "sidecar-a-1"
    assert (read.caller_address.host, read.caller_address.port) == (
        "127.0.0.2",
        8548,
    )
    assert (read.peer_port, read.metrics_port) == (7000, 7015)
    assert read.target_address.port == 8547
    assert read.bounds.grace == clock.Milliseconds(6500)
    assert read.store.reads_per_second == 2000
    assert read.bounds.limit_slack == 7
    assert read.bounds.retry_ratio == 0.2


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('ip: "127.0.0.2"', "ip: 7", "ip: got 7"),
        ('node: "sidecar-a-1"', "", "node: got None"),
        ("127.0.0.2:8548", "127.0.0.2", "outbound: got '127.0.0.2'"),
        ("provider: {", "other: {", "provider: got None"),
        ("[7000, 7015]", "[a, 7015]", "internal_port_range: got"),
        ("[7000, 7015]", "7", "internal_port_range: got 7"),
        ("reads_per_s: 2000", "reads_per_s: [1]", "reads_per_s: got"),
        ("seeds: []", "seeds: 7", "seeds: got 7"),
        (
            "bounds: {drain_ms: 1500",
            "bounds: [drain_ms, 1500] #",
            "bounds: got",
        ),
    ],
)
def test_error_names_the_field_and_the_value(tmp_path, old, new, expected):
    """Guards against a node that starts with incomplete settings."""
    path = write_settings(tmp_path, builders.SETTINGS.replace(old, new))
    with pytest.raises(exceptions.SettingsError, match=expected):
        settings.read_settings(path)


@pytest.mark.parametrize("text", ["", "- a", "a: [", "\x00"])
def test_file_without_a_mapping_is_an_error(tmp_path, text):
    """Guards against an unexpected type of exception at start-up."""
    with pytest.raises(exceptions.SettingsError):
        settings.read_settings(write_settings(tmp_path, text))


@pytest.mark.parametrize(
    ("limits", "memory_mb", "max_descriptors"),
    [
        ("{memory_mb: 120, max_fds: 900}", 120.0, 900),
        ("{memory_mb: none, max_fds: -1}", 300.0, 4100),
        ("{}", 300.0, 4100),
    ],
)
def test_limits_of_the_process_are_read(
    tmp_path, limits, memory_mb, max_descriptors
):
    """Guards against a node that holds more than its machine has."""
    text = f"{builders.SETTINGS}\nlimits: {limits}\n"
    read = settings.read_settings(write_settings(tmp_path, text))
    assert read.memory_mb == memory_mb
    assert read.max_descriptors == max_descriptors

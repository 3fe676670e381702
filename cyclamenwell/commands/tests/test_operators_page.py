"""Tests of the commands, files and metrics on the operators' page."""

import dataclasses
import pathlib
import re
import shlex
import shutil

import prometheus_client
import pytest
from typer import testing

from cyclamenwell.commands import main
from cyclamenwell.generated import settings
from cyclamenwell.settings import node_settings
from cyclamenwell.telemetry import metrics
from cyclamenwell.testing import builders
from cyclamenwell.testing import fleet as fleets

_ROOT = pathlib.Path(__file__).parents[3]
_PAGE = (_ROOT / "docs" / "operators.md").read_text("utf-8")
_NODE = "127.0.0.1:9104"
_CONSOLE = re.compile(r"^```console\n(.*?)^```", re.MULTILINE | re.DOTALL)
_PROMPT = "$ cyclamenwell "
# Not checked: seeds differ for each fleet, and health_path.
_WITHOUT_DEFAULT = frozenset({"seeds", "health_path"})


def _find_commands() -> list[str]:
    return [
        line.removeprefix(_PROMPT)
        for block in _CONSOLE.findall(_PAGE)
        for line in block.splitlines()
        if line.startswith(_PROMPT)
    ]


@pytest.fixture(scope="module")
def operations():
    """Return the operations address of the only node in the list."""
    fleet = fleets.Fleet()
    member = fleet.add("billing-1", "billing")
    fleet.platform.publish("service/billing", builders.build_service_text())
    fleet.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops", "cw_k")
    )
    fleet.platform.publish("fleet", builders.build_fleet_text())
    fleet.start()
    yield f"127.0.0.1:{member.operations_port}"
    fleet.stop()


@pytest.fixture
def working_folder(tmp_path, monkeypatch):
    shutil.copytree(_ROOT / "examples", tmp_path / "examples")
    (tmp_path / "key.txt").write_text("cw_key\n")
    monkeypatch.chdir(tmp_path)


@pytest.mark.parametrize("command", _find_commands())
def test_each_command_of_the_page_succeeds(command, working_folder, operations):
    """Guards against commands on the page that no longer work."""
    line, _, source = command.replace(_NODE, operations).partition(" < ")
    text = pathlib.Path(source).read_text() if source else None
    result = testing.CliRunner().invoke(main.app, shlex.split(line), input=text)
    assert result.exit_code == 0, result.output


def test_page_covers_expected_subcommands():
    """Guards against a pattern that finds no commands, so that none is run."""
    found = {command.split()[0] for command in _find_commands()}
    assert found == {
        "check",
        "check-settings",
        "diff",
        "status",
        "audit",
        "key",
    }


def test_status_shows_confirmation_and_reader(operations):
    """Guards against a table that does not reveal an isolated node."""
    result = testing.CliRunner().invoke(
        main.app, ["status", "--node", operations]
    )
    header, row = (line.split() for line in result.stdout.splitlines())
    assert header[-2:] == ["view_confirmed", "reader"]
    assert row[-2:] == ["true", "true"]


def test_example_has_each_field_and_default():
    """Guards against an example whose defaults differ from the schema."""
    path = _ROOT / "examples" / "node.yaml"
    loaded = node_settings.load_settings(path)
    text = path.read_text()
    for section in settings.NodeSettings.FIELDS:
        part = getattr(loaded, section.name)
        defaults = {one.name: one.default for one in dataclasses.fields(part)}
        for spec in part.FIELDS:
            if spec.name in _WITHOUT_DEFAULT:
                continue
            line = rf"^  {spec.name}: \S.*"
            if not spec.required:
                assert getattr(part, spec.name) == defaults[spec.name]
                line += "# Default"
            assert re.search(line, text, re.MULTILINE), spec.name


def test_page_explains_each_metric():
    """Guards against a metric that is not documented for operators."""
    assert metrics.render()
    names = {
        family.name + ("_total" if family.type == "counter" else "")
        for family in prometheus_client.REGISTRY.collect()
        if family.name.startswith("cyclamenwell_")
    }
    assert names
    missing = {name for name in names if f"`{name}`" not in _PAGE}
    assert not missing

"""Step definitions of commands.feature."""

import json
import pathlib
import shutil

import pytest
import pytest_bdd
from pytest_bdd import parsers
from typer import testing

from cyclamenwell.commands import main
from cyclamenwell.keys import authenticator
from cyclamenwell.testing import builders

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"

pytest_bdd.scenarios("commands.feature")


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "documents"


@pytest.fixture
def service_file(folder):
    return folder / "service" / "billing.yaml"


@pytest_bdd.given("a folder of documents")
def make_folder(folder, service_file):
    (folder / "service").mkdir(parents=True)
    (folder / "organisation").mkdir()
    service_file.write_text(builders.build_service_text())
    text = builders.build_organisation_text("shops", "cw_key")
    (folder / "organisation" / "shops.yaml").write_text(text)
    (folder / "fleet.yaml").write_text(builders.build_fleet_text("dc-b"))


@pytest_bdd.given("a copy of the folder")
def copy_folder(folder, tmp_path):
    shutil.copytree(folder, tmp_path / "copy")


@pytest_bdd.given(parsers.parse("the rate in the service document is {rate:d}"))
def change_rate(service_file, rate):
    text = service_file.read_text()
    service_file.write_text(
        text.replace("rate_per_second: 1000", f"rate_per_second: {rate}")
    )


@pytest_bdd.given(
    parsers.parse('the organisation document has the field "{field}"')
)
def add_field(folder, field):
    path = folder / "organisation" / "shops.yaml"
    path.write_text(path.read_text().replace("keys:", f"{field}:"))


@pytest_bdd.given(
    parsers.parse('the service document names the caller "{caller}"')
)
def change_caller(service_file, caller):
    text = service_file.read_text()
    service_file.write_text(
        text.replace("organisation: shops", f"organisation: {caller}")
    )


@pytest_bdd.when(
    parsers.parse('the operator runs "{line}"'), target_fixture="result"
)
def run_command(line, folder, tmp_path):
    substitutes = {"FOLDER": str(folder), "COPY": str(tmp_path / "copy")}
    words = [substitutes.get(word, word) for word in line.split()]
    return testing.CliRunner().invoke(main.app, words)


@pytest_bdd.when(
    parsers.parse('the operator checks the example "{example}"'),
    target_fixture="result",
)
def check_example(example):
    return testing.CliRunner().invoke(
        main.app, ["check", str(_EXAMPLES / example)]
    )


@pytest_bdd.then(parsers.parse("the exit status is {status:d}"))
def check_status(result, status):
    assert result.exit_code == status, result.output


@pytest_bdd.then(parsers.parse('the output has "{text}"'))
def check_output(result, text):
    assert text in result.stdout


@pytest_bdd.then(parsers.parse('the errors have "{text}"'))
def check_errors(result, text):
    assert text in result.stderr


@pytest_bdd.then("the printed digest is that of the printed key")
def check_digest(result):
    (row,) = json.loads(result.stdout)
    assert authenticator.compute_digest(row["key"]).hex() == row["digest"]

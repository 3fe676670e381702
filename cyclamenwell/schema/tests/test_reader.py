"""Tests of the strict reader of settings and documents."""

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.documents import parser
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.schema import generator
from cyclamenwell.schema import reader
from cyclamenwell.testing import builders


def read_service(text):
    return reader.read_struct(
        documents.ServiceDocument, text, "doc", exceptions.DocumentError
    )


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("owner: team-billing", "owner: 7", "doc:2: owner: got '7'"),
        ("owner:", "ownr:", "doc:2: ownr: unknown field; allowed: "),
        ("owner: team-billing\n", "", "field 'owner' is missing"),
        ("rate_per_second: 1000", "rate_per_second: -1", "at least 0 req"),
        ("rate_per_second: 1000", "rate_per_second: .nan", "at least 0 req"),
        ("rate_per_second: 1000", "rate_per_second: true", "be a number"),
        ("importance: critical", "importance: vital", "must be one of crit"),
        ("methods: [GET]", "methods: GET", "must be a list"),
        ("methods: [GET]", "methods: []", "at least 1 items"),
        ("service: billing", "service: Bill ing", "must match"),
        ("callers:", "routes: []\ncallers:", "routes: duplicate field"),
    ],
)
def test_bad_input_reports_field_and_constraint(old, new, expected):
    """Guards against an invalid document being accepted or poorly reported."""
    text = builders.build_service_text().replace(old, new, 1)
    with pytest.raises(exceptions.DocumentError) as caught:
        read_service(text)
    assert expected in str(caught.value)


def test_all_problems_are_reported_at_once():
    """Guards against an operator having to fix problems one by one."""
    text = builders.build_service_text(rate=-1, burst=-2)
    with pytest.raises(exceptions.DocumentError) as caught:
        read_service(text)
    assert len(caught.value.problems) == 2


@pytest.mark.parametrize("text", ["", "[]", "a: [", "&a [*a]", "--- 1\n--- 2"])
def test_text_that_is_not_a_mapping_is_rejected(text):
    """Guards against an unexpected exception on malformed YAML."""
    with pytest.raises(exceptions.DocumentError):
        read_service(text)


def test_values_are_converted_to_their_types():
    """Guards against durations and enumerations left as plain values."""
    content = builders.build_service()
    assert content.routes[0].timeout == clock.Milliseconds(5000)
    assert content.routes[1].importance is enumerations.Importance.CRITICAL


def test_generated_files_are_current():
    """Guards against code that differs from the schema."""
    assert generator.main(["--check"]) == 0


@pytest.mark.parametrize(
    ("name", "text", "expected"),
    [
        ("service/other", builders.build_service_text(), "must match"),
        ("unknown/x", "a: 1", "is not a document name"),
        ("fleet", "data_centres_out: [a, a]", "is given twice"),
        ("service/billing", "#" * 1_048_577, "at most 1048576"),
        (
            "service/billing",
            builders.build_service_text()
            .replace("/charges", "/accounts/{x}")
            .replace("[POST]", "[GET]"),
            "is a duplicate",
        ),
        (
            "service/billing",
            builders.build_service_text(burst=0.5),
            "at least 1 request",
        ),
        (
            "organisation/shops",
            builders.build_organisation_text("shops", "a", "a"),
            "is given twice",
        ),
    ],
)
def test_inconsistent_documents_are_rejected(name, text, expected):
    """Guards against documents that are wrong but match the schema."""
    with pytest.raises(exceptions.DocumentError) as caught:
        parser.parse_document(name, 1, text)
    assert expected in str(caught.value)

"""Comparison of the page for callers with the table of answers."""

import pathlib
import re

from cyclamenwell import answers
from cyclamenwell.generated import enumerations
from cyclamenwell.node import problems

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "callers.md"
ROW = re.compile(r"\| `([a-z-]+)` \| (\d+) \| (.+) \| (.+) \| (.+) \|")


def describe_retry(kind, answer):
    if not answer.allows_retry:
        return "no"
    if kind is enumerations.ErrorKind.RATE_LIMITED:
        return "once"
    is_safe = answer.outcome is enumerations.Outcome.NOT_RUN
    return "yes" if is_safe else "if idempotent"


def test_page_lists_every_refusal_as_it_is_answered():
    """Guards against a page that differs from the answers of nodes."""
    listed = {}
    for line in PAGE.read_text().splitlines():
        if match := ROW.fullmatch(line):
            name, *rest = match.groups()
            listed[f"urn:cyclamenwell:{name}"] = tuple(rest)
    assert listed == {
        problems.format_problem_type(kind): (
            str(answer.status),
            answer.title,
            answer.outcome.name.lower().replace("_", "-"),
            describe_retry(kind, answer),
        )
        for kind, answer in answers.ANSWERS.items()
    }

"""Tests of the checks of sidecar runs, and a short run."""

import asyncio

import pytest

from cyclamenwell import clock
from cyclamenwell.soak import sidecar_checks as checks
from cyclamenwell.soak import sidecar_plans as plans
from cyclamenwell.soak import sidecars
from cyclamenwell.soak.tests import sidecar_builders as builders

MS = clock.Milliseconds


def find_violated(history):
    return {
        result.name
        for result in checks.run_checks(history)
        if result.violations
    }


def test_correct_history_has_no_violation():
    """Guards against false violations."""
    assert not find_violated(builders.build_history())


@pytest.mark.parametrize(
    ("violated", "changes"),
    [
        (
            {"check_once"},
            {"runs": (builders.build_run(), builders.build_run())},
        ),
        (
            {"check_attempts"},
            {
                "calls": (builders.build_call(may_repeat=True),),
                "runs": (builders.build_run(),) * 4,
            },
        ),
        (
            {"check_refusals", "check_recovery"},
            {"calls": (builders.build_call(status=503, body=b""),)},
        ),
        (
            {"check_answers"},
            {"calls": (builders.build_call(body=b"whole answer of s-2"),)},
        ),
        ({"check_answers"}, {"runs": ()}),
        ({"check_asked"}, {"runs": (builders.build_run(path="/pay/s-2"),)}),
        (
            {"check_asked"},
            {"runs": (builders.build_run(caller_service="meter"),)},
        ),
        (
            {"check_asked"},
            {"runs": (builders.build_run(), builders.build_run("s-2"))},
        ),
        (
            {"check_leaving"},
            {"faults": (builders.build_fault("leave", 1, 8000, 12_000),)},
        ),
        (
            {"check_cold"},
            {
                "calls": tuple(
                    builders.build_call(f"s-{n}") for n in range(43)
                ),
                "runs": tuple(
                    builders.build_run(f"s-{n}", at=MS(10_010 + 20 * n))
                    for n in range(43)
                ),
                "faults": (builders.build_fault("cold", 1, 9900, 12_000),),
            },
        ),
        ({"check_stops"}, {"stops": (builders.build_stop(None, 9000, 1),)}),
        ({"check_stops"}, {"stops": (builders.build_stop(2000, 8100, 1),)}),
        (
            {"check_stops"},
            {"stops": (builders.build_stop(2000, 5000, 1, code=1),)},
        ),
        (
            {"check_stops"},
            {"stops": (builders.build_stop(2000, 2010, 1, code=-15),)},
        ),
        (
            {"check_cut_requests", "check_recovery"},
            {
                "calls": (builders.build_call(status=0, body=b""),),
                "stops": (builders.build_stop(10_020, 13_000),),
            },
        ),
        (
            {"check_cut_requests", "check_recovery"},
            {
                "calls": (
                    builders.build_call(status=0, body=b"", is_unread=True),
                ),
                "stops": (builders.build_stop(10_020, 13_000),),
            },
        ),
        (
            {"check_late"},
            {"calls": (builders.build_call(ended=MS(13_600)),)},
        ),
        ({"check_recovery"}, {"calm_from": MS(20_000)}),
    ],
)
def test_check_reports_its_violation(violated, changes):
    """Guards against checks that cannot fail."""
    assert find_violated(builders.build_history(**changes)) == violated


@pytest.mark.parametrize(
    "changes",
    [
        # The store was down, so no node could learn that the target leaves.
        {
            "faults": (
                builders.build_fault("leave", 1, 8000, 12_000),
                builders.build_fault("store", -1, 7000, 9000),
            )
        },
        # A process that was stopped before it had started to serve.
        {"stops": (builders.build_stop(2000, 2010, 1, -15, False),)},
        # A paused process cannot exit in time.
        {
            "stops": (builders.build_stop(2000, 8100, 1),),
            "faults": (builders.build_fault("pause", 1, 3000, 5000),),
        },
        # The node closed a reused connection; the request did not run.
        {
            "calls": (
                builders.build_call(),
                builders.build_call(
                    "s-2", sent=MS(8900), status=0, is_unread=True
                ),
            ),
            "stops": (builders.build_stop(8800, 9900),),
        },
    ],
)
def test_what_is_allowed_is_no_violation(changes):
    """Guards against violations that the requirements allow."""
    assert not find_violated(builders.build_history(**changes))


def test_plan_depends_only_on_its_arguments():
    """Guards against runs that cannot be repeated."""
    first = plans.build_plan(7, MS(20_000), 7)
    assert first == plans.build_plan(7, MS(20_000), 7)
    assert first != plans.build_plan(8, MS(20_000), 7)
    plan = plans.build_plan(1, MS(90_000), 7)
    kinds = {type(fault).__name__ for fault in plan.faults}
    assert kinds == {
        fault_class.__name__ for fault_class in plans.Fault.__subclasses__()
    }


def test_short_run_passes_all_checks(tmp_path):
    """Guards against changes that violate a requirement under faults."""
    plan = plans.build_plan(1, MS(6000), 5)
    history = asyncio.run(sidecars.run_plan(plan, tmp_path))
    found = [
        result for result in checks.run_checks(history) if result.violations
    ]
    assert not found
    assert len(history.runs) > 100

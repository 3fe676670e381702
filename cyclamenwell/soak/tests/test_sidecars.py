"""Checks of sidecar runs see their violations; a short run holds them."""

import asyncio

import pytest

from cyclamenwell import clock
from cyclamenwell.soak import sidecar_checks as checks
from cyclamenwell.soak import sidecar_plans as plans
from cyclamenwell.soak import sidecars
from cyclamenwell.soak.tests import sidecar_builders as builders

MS = clock.Milliseconds


def find_violated(history):
    return {r.name for r in checks.run_checks(history) if r.violations}


def test_a_right_history_violates_nothing():
    """Guards against checks that fail without a cause."""
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
def test_a_check_sees_its_violation(violated, changes):
    """Guards against checks that can not fail."""
    assert find_violated(builders.build_history(**changes)) == violated


@pytest.mark.parametrize(
    "changes",
    [
        # A target that the node could not know of, as the store was away.
        {
            "faults": (
                builders.build_fault("leave", 1, 8000, 12_000),
                builders.build_fault("store", -1, 7000, 9000),
            )
        },
        # A process that was stopped before it had begun.
        {"stops": (builders.build_stop(2000, 2010, 1, -15, False),)},
        # A paused process can not end in time.
        {
            "stops": (builders.build_stop(2000, 8100, 1),),
            "faults": (builders.build_fault("pause", 1, 3000, 5000),),
        },
        # A kept connection that the node closed; the request was not run.
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
    """Guards against findings that the pages allow."""
    assert not find_violated(builders.build_history(**changes))


def test_plans_depend_on_their_seed_alone():
    """Guards against runs that can not be repeated."""
    first = plans.build_plan(7, MS(20_000), 7)
    assert first == plans.build_plan(7, MS(20_000), 7)
    assert first != plans.build_plan(8, MS(20_000), 7)
    plan = plans.build_plan(1, MS(90_000), 7)
    kinds = {type(fault).__name__ for fault in plan.faults}
    assert kinds == {c.__name__ for c in plans.Fault.__subclasses__()}


def test_a_short_run_holds_all_checks(tmp_path):
    """Guards against changes that break a rule under faults."""
    plan = plans.build_plan(1, MS(6000), 5)
    history = asyncio.run(sidecars.play_plan(plan, tmp_path))
    found = [r for r in checks.run_checks(history) if r.violations]
    assert not found
    assert len(history.runs) > 100

"""Tests that each check reports its violation and nothing else."""

import pytest

from cyclamenwell.soak import checks
from cyclamenwell.soak import history as histories
from cyclamenwell.soak.tests import builders

Outcome = histories.Outcome
CHARGE = "01a240ce-8a3d-7f93-ac82-f2861436a4ee"


def find_violated(history):
    return {
        result.name
        for result in checks.run_checks(history)
        if result.violations
    }


def sum_allowed(history):
    return sum(result.allowed for result in checks.run_checks(history))


def build_runs(count, step=0.0, begin=1_005.0, **values):
    return tuple(
        builders.build_run(begin + number * step, **values)
        for number in range(count)
    )


def build_stop(**values):
    return builders.build_life(
        stop_sent=2_000.0, ended=9_000.0, **{"status": 0} | values
    )


def build_withdrawal(*faults, run_at):
    """Return a history of a run whose key is withdrawn at 2,000 ms."""
    keys = (builders.KEY,)
    name = "organisation/shops"
    return builders.build_history(
        calls=(builders.build_call(),),
        runs=(builders.build_run(run_at),),
        faults=faults,
        publications=(
            builders.build_publication(name, 1, 0.0, keys=keys),
            builders.build_publication(name, 2, 2_000.0, keys=("other",)),
        ),
    )


def build_outage(*faults, run_at, **call):
    """Return a history of a run in `dc-1`, which is out from 2,000 ms."""
    return builders.build_history(
        calls=(builders.build_call(**call),),
        runs=(
            builders.build_run(
                run_at,
                organisation="" if call.get("open_to_all") else "shops",
            ),
        ),
        faults=faults,
        publications=(
            builders.build_publication("fleet", 1, 0.0),
            builders.build_publication("fleet", 2, 2_000.0, out=("dc-1",)),
        ),
    )


def build_cut(begin, end, *others):
    return builders.build_fault(
        "links", begin, end, subjects=("billing-1", *others), whole_side=True
    )


VIOLATIONS = {
    "retries bounded": builders.build_history(
        calls=(builders.build_call(),), runs=build_runs(5, 1_000.0)
    ),
    "organisation of the key only": builders.build_history(
        calls=(builders.build_call(),),
        runs=(builders.build_run(organisation="fitters"),),
        bursts={"shops": 5.0, "fitters": 5.0},
    ),
    "no key at targets and peers": builders.build_history(
        runs=(builders.build_run(saw_key=True),)
    ),
    "withdrawn keys stop": build_withdrawal(run_at=12_001.0),
    # The burst of 5 and one new token allow six runs; the seventh exceeds them.
    "rate and burst": builders.build_history(
        runs=tuple(
            builders.build_run(5_000.0 + n * 10, request_id=f"{n}.0.0")
            for n in range(9)
        )
    ),
    "cold limit of a new gate": builders.build_history(
        calls=(builders.build_call(),), runs=build_runs(3)
    ),
    "data centre out": build_outage(run_at=8_300.0),
    "own whole answer": builders.build_history(
        calls=(builders.build_call(echo="2.0.0"),)
    ),
    "not-run is true": builders.build_history(
        calls=(builders.build_call(outcome=Outcome.NOT_RUN),),
        runs=(builders.build_run(start=5_000.0),),
    ),
    "at most one run": builders.build_history(
        runs=build_runs(2, 1_000.0, idempotency_key=CHARGE)
    ),
    "leaving target": builders.build_history(
        lives=(build_stop(),), runs=(builders.build_run(6_300.0),)
    ),
    "graceful stops": builders.build_history(
        lives=(build_stop(),),
        calls=(
            builders.build_call(
                sent=2_100.0, ended=2_200.0, outcome=Outcome.BROKEN
            ),
        ),
        faults=(builders.build_fault("links", 0.0, 9_000.0),),
    ),
    "configuration in force": builders.build_history(
        publications=(
            builders.build_publication("fleet", 1, 0.0),
            builders.build_publication("fleet", 2, 2_000.0),
        ),
        polls=(
            builders.build_poll(
                8_100.0, 1, versions={"fleet": 1, "service/billing": 1}
            ),
        ),
    ),
    "versions never go down": builders.build_history(
        polls=(builders.build_poll(1_000.0, 2), builders.build_poll(2_000.0, 1))
    ),
    "no unexpected errors": builders.build_history(errors=("node ended",)),
}


@pytest.mark.parametrize("name", VIOLATIONS)
def test_check_reports_its_violation(name):
    """Guards against a check that cannot fail or that reports another's."""
    assert find_violated(VIOLATIONS[name]) == {name}
    assert len(VIOLATIONS) == len(checks.run_checks(VIOLATIONS[name]))


@pytest.mark.parametrize(
    "history",
    [
        build_withdrawal(run_at=11_999.0),
        build_outage(run_at=8_100.0),
        builders.build_history(
            calls=(builders.build_call(),), runs=build_runs(4, 1_000.0)
        ),
        builders.build_history(runs=build_runs(3, 110.0)),
        builders.build_history(
            calls=(
                builders.build_call(idempotency_key=CHARGE),
                builders.build_call(
                    "1.1.0", echo="1.0.0", idempotency_key=CHARGE
                ),
            ),
        ),
        builders.build_history(
            lives=(build_stop(),), runs=(builders.build_run(6_100.0),)
        ),
    ],
)
def test_what_the_design_allows_passes(history):
    """Guards against time bounds that are stricter than the design page."""
    assert find_violated(history) == set()


def test_cut_off_group_may_use_a_withdrawn_key_but_a_single_node_may_not():
    """Guards against an exception for a node that must refuse calls.

    Instances that are cut off together confirm each other's outdated view. A
    node that is cut off from all others gets no confirmation and must refuse
    calls with a key.
    """
    group = build_withdrawal(
        build_cut(1_000.0, 20_000.0, "meters-1"), run_at=20_500.0
    )
    alone = build_withdrawal(build_cut(1_000.0, 20_000.0), run_at=20_500.0)
    assert find_violated(group) == set()
    assert sum_allowed(group) == 1
    assert find_violated(alone) == {"withdrawn keys stop"}


def test_isolated_node_may_run_calls_of_open_routes_after_a_take_out():
    """Guards against a violation that the isolated node cannot prevent."""
    cut = build_cut(1_000.0, 20_000.0)
    open_call = build_outage(
        cut, run_at=20_500.0, open_to_all=True, key="", answered_for=("",)
    )
    assert find_violated(open_call) == set()
    keyed = build_outage(cut, run_at=20_500.0)
    assert find_violated(keyed) == {"data centre out"}


def test_change_during_an_outage_of_the_platform_counts_from_its_end():
    """Guards against violations by changes that no node could read yet."""
    outage = builders.build_fault("platform", 1_000.0, 9_000.0)
    assert find_violated(build_outage(outage, run_at=15_100.0)) == set()
    assert find_violated(build_outage(outage, run_at=15_300.0)) == {
        "data centre out"
    }


def test_higher_of_two_rates_applies_while_both_may_be_in_effect():
    """Guards against a limit that is too strict or too weak after an edit."""

    def build(begin):
        return builders.build_history(
            runs=tuple(
                builders.build_run(begin + n * 100, request_id=f"{n}.0.0")
                for n in range(30)
            ),
            publications=(
                builders.build_publication(
                    "service/billing", 2, 2_000.0, rates={"shops": 1.0}
                ),
            ),
        )

    assert find_violated(build(4_000.0)) == set()
    assert find_violated(build(8_500.0)) == {"rate and burst"}


def test_stalls_of_the_machine_extend_bounds():
    """Guards against results that depend on the speed of the machine."""
    late = build_withdrawal(run_at=12_900.0)
    assert find_violated(late) == {"withdrawn keys stop"}
    fields = {
        name: getattr(late, name)
        for name in ("calls", "runs", "lives", "publications", "bursts")
    }
    stalled = histories.History(
        **fields, stalls=(histories.Stall(5_000.0, 6_000.0),)
    )
    assert find_violated(stalled) == set()


def test_stop_with_nonzero_status_is_a_violation():
    """Guards against stops that were aborted."""
    history = builders.build_history(lives=(build_stop(status=3),))
    assert find_violated(history) == {"graceful stops"}

"""Figures, on made-up samples with known answers."""

import dataclasses
import math

import pytest

from cyclamenwell import exceptions
from cyclamenwell.load import arrivals
from cyclamenwell.load import client as clients
from cyclamenwell.load import figures
from cyclamenwell.load import generator
from cyclamenwell.load import plans
from cyclamenwell.load import report
from cyclamenwell.load.tests import builders


def build_steady(start, end, whole_until, whole_from):
    """Return a sample every 10 ms, failed ones between two times."""
    return [
        builders.build_sample(
            at,
            generator.FAILED
            if whole_until <= at < whole_from
            else generator.WHOLE,
        )
        for at in range(start, end, 10)
    ]


def test_schedule_depends_on_the_seed_alone():
    """Guards against system and baseline getting different loads."""
    experiment = builders.build_experiment()
    first = arrivals.build_schedule(experiment)
    assert first == arrivals.build_schedule(experiment)
    other = dataclasses.replace(experiment, seed=experiment.seed + 1)
    assert first != arrivals.build_schedule(other)


def test_capacity_counts_every_call_of_a_chain():
    """Guards against load set as a part of a wrong capacity."""
    # Two slots of 10 ms give 200 calls/s of deep, which every request makes;
    # four slots held for 20 ms give 200/s of entry, made by 3 of 4.
    capacity = plans.compute_capacity(builders.build_experiment())
    assert capacity == pytest.approx(200)


def test_unknown_names_in_an_experiment_are_reported():
    """Guards against a bound on a phase that does not exist."""
    text = builders.EXPERIMENT.replace("before: only", "before: olny")
    with pytest.raises(exceptions.SettingsError, match="olny"):
        plans.read_experiment(text, "small.yaml")


@pytest.mark.parametrize(
    ("starts", "excess"),
    [
        ([], -math.inf),
        ([0], -4),  # One of a burst of five.
        ([0] * 6, 1),  # One more than the burst.
        ([0] * 5 + [100], 0),  # One token is back after 100 ms.
        ([0] * 5 + [50], 0.5),  # Only half a token is back.
        # The excess lies in a window inside a long quiet run.
        ([0, 10_000] + [20_000] * 7 + [30_000], 2),
    ],
)
def test_window_excess(starts, excess):
    """Guards against a limiter that exceeds its limit in one window only."""
    found = figures.compute_window_excess(starts, 10, 5)
    assert found == pytest.approx(excess)


def test_recovery_is_when_the_last_bad_window_ends():
    """Guards against counting the first good moment as recovered."""
    before = (0, 5_000)
    after = (10_000, 20_000)
    samples = build_steady(0, 20_000, 10_000, 12_000)
    # The window from 11,750 ms still has a quarter of failures.
    assert figures.compute_recovery(samples, before, after) == 2_000
    never = build_steady(0, 20_000, 10_000, 20_000)
    assert figures.compute_recovery(never, before, after) == math.inf
    unhurt = build_steady(0, 20_000, 0, 0)
    assert figures.compute_recovery(unhurt, before, after) == 0


def test_refusals_within_rate_follow_one_bucket():
    """Guards against calling a refusal beyond the rate a false one."""
    chain = ("entry", "deep")
    whole = [figures.Attempt(0, chain, "")] * 2
    beyond = [figures.Attempt(1, chain, "rate-limited")]
    deep_beyond = [figures.Attempt(2, ("deep",), "rate-limited")]
    within = [figures.Attempt(600, chain, "rate-limited")] * 3
    attempts = whole + beyond + deep_beyond + within
    # The burst of 2 is used up; after 600 ms at 2/s there is a token again.
    assert figures.count_refusals_within_rate(attempts, 2, 2) == 1
    # The further call took the token of the entry, so the next is beyond.
    deeper = [figures.Attempt(600, chain, "rate-limited at deep")]
    after = [figures.Attempt(601, ("entry",), "rate-limited")]
    attempts = whole + deeper + after
    assert figures.count_refusals_within_rate(attempts, 2, 2) == 1


def test_kind_names_the_service_that_refused_a_further_call():
    """Guards against a refusal that is put down to the wrong service."""
    refusal = '{"type": "urn:cyclamenwell:rate-limited", "title": "x"}'
    answer = clients.ClientAnswer(429, refusal.encode())
    assert answer.kind == "rate-limited"
    inner = f'{{"error": "deep failed", "cause": {refusal}}}'
    outer = f'{{"error": "middle failed", "cause": {inner}}}'
    answer = clients.ClientAnswer(502, outer.encode())
    assert answer.kind == "rate-limited at deep"


def test_entitlements_are_weighted_and_whole():
    """Guards against a worst organisation measured against a wrong due."""
    demands = {"small": 10, "large": 500, "middle": 500}
    weights = {"small": 1, "large": 2, "middle": 1}
    found = figures.compute_entitlements(demands, weights, 100)
    assert found == pytest.approx({"small": 10, "large": 60, "middle": 30})


def test_important_losses_count_only_beside_served_rivals():
    """Guards against an important request lost while a lesser one runs."""
    run = figures.Run(
        experiment=builders.build_experiment(),
        samples=(
            builders.build_sample(
                100, generator.FAILED, request_class="charges"
            ),
            builders.build_sample(200),
            builders.build_sample(
                1_100, generator.FAILED, request_class="charges"
            ),
            builders.build_sample(1_200, generator.FAILED),
        ),
        records=(),
        data_centres={},
    )
    found = figures.compute_figures(run)
    (lost,) = [one for one in found if one.name == "important_lost"]
    # The phase has one second, so only the first pair lies in it.
    assert lost.value == 1


def test_missing_figure_misses_its_bound():
    """Guards against a bound that is met because nothing was measured."""
    bounds = builders.build_experiment().bounds
    (verdict,) = report.judge(bounds, ())
    assert not verdict.met
    met = figures.Figure("max_runs_per_key", "", 1.0)
    assert report.judge(bounds, (met,))[0].met
    missed = figures.Figure("max_runs_per_key", "", 2.0)
    assert not report.judge(bounds, (missed,))[0].met

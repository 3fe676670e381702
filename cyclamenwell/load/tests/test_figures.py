"""Tests of figures, on synthetic samples with known results."""

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


def build_steady_load(start, end, failed_from, failed_until):
    """Return a sample every 10 ms, failed ones within an interval."""
    return [
        builders.build_sample(
            at,
            generator.FAILED
            if failed_from <= at < failed_until
            else generator.WHOLE,
        )
        for at in range(start, end, 10)
    ]


def test_schedule_depends_on_the_seed_alone():
    """Guards against different loads for system and baseline."""
    experiment = builders.build_experiment()
    first = arrivals.build_schedule(experiment)
    assert first == arrivals.build_schedule(experiment)
    other = dataclasses.replace(experiment, seed=experiment.seed + 1)
    assert first != arrivals.build_schedule(other)


def test_capacity_counts_every_call_of_a_chain():
    """Guards against load derived from a wrong capacity."""
    # Two slots of 10 ms sustain 200 calls/s at "deep", which all requests call.
    # Four slots held for 20 ms sustain 200 calls/s at "entry", which 3 of 4 do.
    capacity = plans.compute_capacity(builders.build_experiment())
    assert capacity == pytest.approx(200)


def test_unknown_names_in_an_experiment_are_reported():
    """Guards against a reference to a phase that does not exist."""
    text = builders.EXPERIMENT.replace("before: only", "before: olny")
    with pytest.raises(exceptions.SettingsError, match="olny"):
        plans.read_experiment(text, "small.yaml")


@pytest.mark.parametrize(
    ("starts", "excess"),
    [
        ([], -math.inf),
        ([0], -4),  # One request of a burst of five.
        ([0] * 6, 1),  # One request above the burst.
        ([0] * 5 + [100], 0),  # 100 ms refill one token.
        ([0] * 5 + [50], 0.5),  # 50 ms refill only half a token.
        # The excess lies in a window within a long run at a low rate.
        ([0, 10_000] + [20_000] * 7 + [30_000], 2),
    ],
)
def test_window_excess(starts, excess):
    """Guards against missing a limit that is exceeded in a single window."""
    found = figures.compute_window_excess(starts, 10, 5)
    assert found == pytest.approx(excess)


def test_recovery_is_when_the_last_bad_window_ends():
    """Guards against taking the first good window as the recovery."""
    before = (0, 5_000)
    after = (10_000, 20_000)
    samples = build_steady_load(0, 20_000, 10_000, 12_000)
    # In the window from 11,750 ms, a quarter of the requests still fail.
    assert figures.compute_recovery(samples, before, after) == 2_000
    never = build_steady_load(0, 20_000, 10_000, 20_000)
    assert figures.compute_recovery(never, before, after) == math.inf
    unaffected = build_steady_load(0, 20_000, 0, 0)
    assert figures.compute_recovery(unaffected, before, after) == 0


def test_refusals_within_rate_follow_one_bucket():
    """Guards against counting a refusal above the rate as a wrong one."""
    chain = ("entry", "deep")
    whole = [figures.Attempt(0, chain, "")] * 2
    above_rate = [figures.Attempt(1, chain, "rate-limited")]
    deep_above_rate = [figures.Attempt(2, ("deep",), "rate-limited")]
    within_rate = [figures.Attempt(600, chain, "rate-limited")] * 3
    attempts = whole + above_rate + deep_above_rate + within_rate
    # The burst of 2 is spent; after 600 ms at 2/s one token is available.
    assert figures.count_refusals_within_rate(attempts, 2, 2) == 1
    # The nested call took the token of "entry", so the next is above the rate.
    deeper = [figures.Attempt(600, chain, "rate-limited at deep")]
    after = [figures.Attempt(601, ("entry",), "rate-limited")]
    attempts = whole + deeper + after
    assert figures.count_refusals_within_rate(attempts, 2, 2) == 1


def test_kind_names_the_service_that_refused_a_nested_call():
    """Guards against a refusal that is attributed to the wrong service."""
    refusal = '{"type": "urn:cyclamenwell:rate-limited", "title": "x"}'
    answer = clients.ClientAnswer(429, refusal.encode())
    assert answer.kind == "rate-limited"
    inner = f'{{"error": "deep failed", "cause": {refusal}}}'
    outer = f'{{"error": "middle failed", "cause": {inner}}}'
    answer = clients.ClientAnswer(502, outer.encode())
    assert answer.kind == "rate-limited at deep"


def test_fair_shares_are_weighted_and_use_the_whole_capacity():
    """Guards against a worst share relative to a wrong fair share."""
    demands = {"small": 10, "large": 500, "middle": 500}
    weights = {"small": 1, "large": 2, "middle": 1}
    found = figures.compute_fair_shares(demands, weights, 100)
    assert found == pytest.approx({"small": 10, "large": 60, "middle": 30})


def test_important_losses_count_only_beside_served_rivals():
    """Guards against losing important requests while others are served."""
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
    (lost,) = [item for item in found if item.name == "important_lost"]
    # The phase lasts one second, so only the first pair is within it.
    assert lost.value == 1


def test_missing_figure_misses_its_bound():
    """Guards against a bound that counts as met without a measurement."""
    bounds = builders.build_experiment().bounds
    (verdict,) = report.check_bounds(bounds, ())
    assert not verdict.met
    met = figures.Figure("max_runs_per_key", "", 1.0)
    assert report.check_bounds(bounds, (met,))[0].met
    missed = figures.Figure("max_runs_per_key", "", 2.0)
    assert not report.check_bounds(bounds, (missed,))[0].met

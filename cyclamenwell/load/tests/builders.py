"""Builders of experiments and samples for tests."""

from __future__ import annotations

from cyclamenwell.generated import experiments
from cyclamenwell.load import generator
from cyclamenwell.load import plans

__all__ = ["EXPERIMENT", "build_experiment", "build_sample"]

EXPERIMENT = """\
name: small
seed: 11
data_centres: 1
services:
  - {name: entry, slots: 4, service_time: 10, further: [deep]}
  - {name: deep, slots: 2, service_time: 10}
organisations:
  - {name: shops, share: 3, rate_per_second: 1000, burst: 1000}
  - {name: fitters, share: 1, rate_per_second: 1000, burst: 1000}
classes:
  - {name: reads, service: entry, share: 3, timeout: 20000}
  - {name: charges, service: deep, share: 1, importance: critical,
     idempotent: false, timeout: 20000}
phases:
  - {name: only, duration: 1000, load: 0.1}
before: only
bounds:
  - {figure: max_runs_per_key, at_most: 1}
clients: 4
load_processes: 1
"""


def build_experiment(text: str = EXPERIMENT) -> experiments.Experiment:
    """Return a small experiment with two services."""
    return plans.read_experiment(text, "small.yaml")


def build_sample(
    arrival: float,
    outcome: str = generator.WHOLE,
    organisation: str = "shops",
    request_class: str = "reads",
) -> generator.Sample:
    """Return a sample of a request that ended 1 ms after its arrival."""
    return generator.Sample(
        number=int(arrival),
        organisation=organisation,
        request_class=request_class,
        arrival=arrival,
        end=arrival + 1,
        outcome=outcome,
        attempts=((arrival, "" if outcome == generator.WHOLE else "timeout"),),
    )

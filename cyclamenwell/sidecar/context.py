"""What all parts of a sidecar node share."""

from __future__ import annotations

import dataclasses
import random

from cyclamenwell import clock
from cyclamenwell.configuration import published
from cyclamenwell.generated import sidecar
from cyclamenwell.sidecar import figures as figure_module
from cyclamenwell.telemetry import journal

__all__ = ["NodeContext"]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeContext:
    """Settings, clock, published state, random numbers, log and metrics.

    Parameters
    ----------
    settings : sidecar.SidecarSettings
        Settings of the node.
    time : clock.Clock
        Clock of deadlines and ages.
    state : published.PublishedState
        What is known of configuration and targets.
    generator : random.Random
        Spreads decisions of many nodes.
    log : journal.Journal
        Takes decisions and changes of what the node believes.
    figures : figure_module.Figures
        Counts outcomes.
    """

    settings: sidecar.SidecarSettings
    time: clock.Clock
    state: published.PublishedState
    generator: random.Random
    log: journal.Journal
    figures: figure_module.Figures

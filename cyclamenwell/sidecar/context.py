"""Dependencies shared by all components of a sidecar node."""

from __future__ import annotations

import dataclasses
import random

from cyclamenwell import clock
from cyclamenwell.admission import memory_account
from cyclamenwell.configuration import published
from cyclamenwell.configuration import store_duty
from cyclamenwell.generated import sidecar
from cyclamenwell.sidecar import metrics as metrics_module
from cyclamenwell.telemetry import structured_log

__all__ = ["NodeContext"]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeContext:
    """Settings, clock, published state, random generator, log and metrics.

    Parameters
    ----------
    settings : sidecar.SidecarSettings
        Settings of the node.
    time : clock.Clock
        Clock for deadlines and ages.
    state : published.PublishedState
        Local replica of the configuration and the targets.
    generator : random.Random
        Source of jitter, so that nodes do not act in step.
    log : structured_log.StructuredLog
        Receives decisions and changes of the node's state.
    metrics : metrics_module.Metrics
        Counters and histograms of outcomes.
    duty : store_duty.StoreDuty
        Whether the node reads the store, and how old its knowledge is.
    memory : memory_account.MemoryAccount
        Memory held for callers and peers.
    """

    settings: sidecar.SidecarSettings
    time: clock.Clock
    state: published.PublishedState
    generator: random.Random
    log: structured_log.StructuredLog
    metrics: metrics_module.Metrics
    duty: store_duty.StoreDuty
    memory: memory_account.MemoryAccount

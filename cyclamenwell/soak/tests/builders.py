"""Builders of test data for soak runs."""

from __future__ import annotations

from typing import Any

from cyclamenwell.soak import history as histories
from cyclamenwell.standin import target as targets

__all__ = [
    "FakeProcessGroup",
    "build_call",
    "build_fault",
    "build_history",
    "build_life",
    "build_poll",
    "build_publication",
    "build_run",
    "break_nodes",
]

KEY = "cw_soak_shops_1"


def build_call(request_id: str = "1.0.0", **values: Any):
    """Return a completely answered read of `shops`, sent at 1,000 ms."""
    fields = {
        "request_id": request_id,
        "call": 1,
        "organisation": "shops",
        "service": "billing",
        "importance": "normal",
        "idempotent": True,
        "open_to_all": False,
        "key": KEY,
        "idempotency_key": "",
        "entry": "billing-1",
        "sent": 1_000.0,
        "ended": 1_020.0,
        "outcome": histories.Outcome.WHOLE,
        "echo": request_id,
        "answered_for": ("shops",),
    }
    return histories.CallRecord(**fields | values)


def build_run(start: float = 1_005.0, **values: Any) -> targets.RunRecord:
    """Return a complete run of 10 ms of the call from `build_call`."""
    fields = {
        "service": "billing",
        "target": "billing-1",
        "idempotency_key": "",
        "organisation": "shops",
        "request_id": "1.0.0",
        "start": start,
        "end": start + 10,
        "result": "complete",
    }
    return targets.RunRecord(**fields | values)


def build_life(instance: str = "billing-1", **values: Any):
    """Return a node of `billing` that runs from time 0."""
    fields = {"service": "billing", "data_centre": "dc-1", "started": 0.0}
    return histories.NodeLife(instance, **fields | values)


def build_fault(kind: str, begin: float, end: float, **values: Any):
    """Return a fault of `billing-1`."""
    fields = {"subjects": ("billing-1",)}
    return histories.FaultRecord(
        kind=kind, begin=begin, end=end, **fields | values
    )


def build_publication(name: str, version: int, at: float, **content: Any):
    """Return a published version of a document."""
    return histories.Publication(name, version, at, **content)


def build_poll(at: float, version: int, **values: Any) -> histories.Poll:
    """Return a status of `billing-1` that has a version of `fleet`."""
    fields = {
        "instance": "billing-1",
        "incarnation": 1,
        "state": "serving",
        "versions": {"fleet": version},
    }
    return histories.Poll(at=at, **fields | values)


def build_history(**parts: Any) -> histories.History:
    """Return a history with one node and a rate of 10 calls a second."""
    service = build_publication(
        "service/billing", 1, 0.0, rates={"shops": 10.0}
    )
    extra = tuple(parts.pop("publications", ()))
    fields = {
        "lives": (build_life(),),
        "publications": (service, *extra),
        "bursts": {"shops": 5.0},
        "cold_limit": 2,
    }
    return histories.History(**fields | parts)


class FakeProcessGroup:
    """Process group that records processes and starts none."""

    def __init__(self, directory: Any) -> None:
        self.directory = directory
        self.started: list[str] = []

    def start(self, name: str, *_: str) -> None:
        """Record a process."""
        self.started.append(name)

    def find_pid(self, name: str) -> int:
        """Raise an error, as no process runs."""
        raise ProcessLookupError(name)


_BREAKING_MODULE = """
from cyclamenwell.configuration import store
from cyclamenwell.node import headers

headers._NOT_FORWARDED = frozenset({"host"})
_apply = store.Store.apply


def _apply_first(self, texts, origin):
    kept = [
        text
        for text in texts
        if text.version == 1 or not text.name.startswith("organisation/")
    ]
    return _apply(self, kept, origin)


store.Store.apply = _apply_first
"""


def break_nodes(folder: Any) -> None:
    """Write a module that patches each process with the folder on its path.

    Patched nodes forward keys to targets and ignore changes of keys.
    """
    (folder / "sitecustomize.py").write_text(_BREAKING_MODULE, "utf-8")

"""Records of a soak run, the only input of its checks."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import math

from cyclamenwell.standin import target as targets

__all__ = [
    "CallRecord",
    "FaultRecord",
    "History",
    "NodeLife",
    "Outcome",
    "Poll",
    "Publication",
    "Stall",
]


class Outcome:
    """Outcome of a call as the caller observed it."""

    WHOLE = "whole"  # The target's answer with status 200.
    FAILED = "failed"  # The target's answer with another status.
    NOT_RUN = "not-run"  # Refusal; the request has not run.
    UNKNOWN = "unknown"  # Refusal; the request may have run.
    UNSENT = "unsent"  # The node refused the connection.
    BROKEN = "broken"  # The connection closed before the answer was complete.
    TIMEOUT = "timeout"  # No answer within a margin after the deadline.
    GONE = "gone"  # The caller disconnected on purpose.


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """One request of a call; all times are monotonic milliseconds.

    Parameters
    ----------
    request_id : str
        Identifier of this request.
    call : int
        Number of the call in the load.
    organisation, service, importance : str
        Names in the load.
    idempotent, open_to_all : bool
        Properties of the route.
    key : str
        API key that was sent, or empty.
    idempotency_key : str
        Idempotency key that was sent, or empty.
    entry : str
        Instance that the request was sent to.
    sent, ended : float
        Times of sending and of the outcome.
    outcome : str
        One of `Outcome`.
    kind : str
        Kind of a refusal or of a failed connection.
    echo : str
        Request identifier in a complete answer.
    answered_for : tuple of str
        Organisations in a complete answer and in its nested answers.
    """

    request_id: str
    call: int
    organisation: str
    service: str
    importance: str
    idempotent: bool
    open_to_all: bool
    key: str
    idempotency_key: str
    entry: str
    sent: float
    ended: float
    outcome: str
    kind: str = ""
    echo: str = ""
    answered_for: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRecord:
    """A fault that was injected.

    Parameters
    ----------
    kind : str
        Kind of the fault.
    subjects : tuple of str
        Instances or names that it affects; for links, one side.
    begin, end : float
        Times of its begin and end.
    detail : str
        Mode or new value.
    whole_side : bool
        Whether the subjects are cut off from all other instances.
    """

    kind: str
    subjects: tuple[str, ...]
    begin: float
    end: float
    detail: str = ""
    whole_side: bool = False

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether the fault was active during a time span."""
        return self.begin <= end and begin <= self.end


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLife:
    """One process of a node.

    Parameters
    ----------
    instance, service, data_centre : str
        Identity of the node.
    started, ended : float
        Times of start and exit; `ended` is infinite while it runs.
    stop_sent : float
        Time of SIGTERM, infinite if none was sent.
    status : int or None
        Exit status, None while it runs or if it was killed.
    """

    instance: str
    service: str
    data_centre: str
    started: float
    ended: float = math.inf
    stop_sent: float = math.inf
    status: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """A published version of a configuration document.

    Parameters
    ----------
    name : str
        Name of the document.
    version : int
        Version number.
    at : float
        Time just before it was published.
    keys : tuple of str
        Valid keys of an organisation.
    rates : Mapping of str to float
        Requests per second of each organisation at a service.
    out : tuple of str
        Data centres that are taken out.
    """

    name: str
    version: int
    at: float
    keys: tuple[str, ...] = ()
    rates: Mapping[str, float] = dataclasses.field(default_factory=dict)
    out: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Status of a node; `at` is the time just before the request for it."""

    instance: str
    incarnation: int
    at: float
    state: str
    versions: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Stall:
    """Time span in which the machine or a node got too little processor time.

    Parameters
    ----------
    begin, end : float
        Begin and end of the span.
    instance : str
        Stalled node, empty for the whole machine.
    """

    begin: float
    end: float
    instance: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """All records of a run.

    Parameters
    ----------
    calls : tuple of CallRecord
        Requests as the callers recorded them.
    runs : tuple of targets.RunRecord
        Requests as the targets recorded them.
    faults : tuple of FaultRecord
        Injected faults.
    lives : tuple of NodeLife
        Node processes.
    publications : tuple of Publication
        Published versions in order of time.
    polls : tuple of Poll
        Statuses in order of time.
    stalls : tuple of Stall
        Stalls, by which the checks extend their time bounds.
    bursts : Mapping of str to float
        Burst size of each organisation, the same at every service.
    cold_limit : int
        Concurrency limit of a cold target, the same for all services.
    retries : int
        Maximum number of retries of a root request.
    peer_chunks : int
        Chunks of bytes between nodes that were searched for keys.
    peer_leaks : tuple of str
        Links on which a key was found.
    errors : tuple of str
        Tracebacks in logs, unexpected process exits and failures of the run.
    """

    calls: tuple[CallRecord, ...] = ()
    runs: tuple[targets.RunRecord, ...] = ()
    faults: tuple[FaultRecord, ...] = ()
    lives: tuple[NodeLife, ...] = ()
    publications: tuple[Publication, ...] = ()
    polls: tuple[Poll, ...] = ()
    stalls: tuple[Stall, ...] = ()
    bursts: Mapping[str, float] = dataclasses.field(default_factory=dict)
    cold_limit: int = 4
    retries: int = 3
    peer_chunks: int = 0
    peer_leaks: tuple[str, ...] = ()
    errors: tuple[str, ...] = ()

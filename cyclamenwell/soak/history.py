"""What a soak run has seen; the checks look at nothing else."""

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
    """What a caller learned of its call."""

    WHOLE = "whole"  # The target's answer with status 200.
    FAILED = "failed"  # The target's answer with another status.
    NOT_RUN = "not-run"  # Refusal.
    UNKNOWN = "unknown"  # Refusal.
    UNSENT = "unsent"  # The node refused the connection.
    BROKEN = "broken"  # The connection ended before the whole answer.
    TIMEOUT = "timeout"  # No answer some time after the deadline.
    GONE = "gone"  # The caller went away.


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """One sending of a call; all times are monotonic milliseconds.

    Parameters
    ----------
    request_id : str
        Identifier of this sending.
    call : int
        Number of the call in the load.
    organisation, service, importance : str
        Names.
    idempotent, open_to_all : bool
        Properties of the route.
    key : str
        Key that was sent.
    idempotency_key : str
        Idempotency key that was sent, or empty.
    entry : str
        Instance that the caller used.
    sent, ended : float
        Times.
    outcome : str
        One of `Outcome`.
    kind : str
        Kind of a refusal.
    echo : str
        Request id in a whole answer.
    answered_for : tuple of str
        Organisations in a whole answer and in the answers in it.
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
        Instances or names that it concerns; of cut links, one side.
    begin, end : float
        Times.
    detail : str
        Mode or value.
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
        """Return whether the fault is active at some time of a span."""
        return self.begin <= end and begin <= self.end


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLife:
    """One process of a node.

    Parameters
    ----------
    instance, service, data_centre : str
        Names.
    started, ended : float
        Times.
    stop_sent : float
        Time of SIGTERM, infinite for none.
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
    """A version of a document.

    Parameters
    ----------
    name : str
        Name of the document.
    version : int
        Version.
    at : float
        Time before it was published.
    keys : tuple of str
        Keys in force of an organisation.
    rates : Mapping of str to float
        Rate of each organisation at a service.
    out : tuple of str
        Data centres that are out.
    """

    name: str
    version: int
    at: float
    keys: tuple[str, ...] = ()
    rates: Mapping[str, float] = dataclasses.field(default_factory=dict)
    out: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Status of a node; `at` is the time before it was asked for."""

    instance: str
    incarnation: int
    at: float
    state: str
    versions: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Stall:
    """Span in which the machine, or one node, got too little time.

    Parameters
    ----------
    begin, end : float
        Times.
    instance : str
        The node, empty for the whole machine.
    """

    begin: float
    end: float
    instance: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Records of a run.

    Parameters
    ----------
    calls : tuple of CallRecord
        Callers' own records.
    runs : tuple of targets.RunRecord
        Targets' own records.
    faults : tuple of FaultRecord
        Injected faults.
    lives : tuple of NodeLife
        Processes of nodes.
    publications : tuple of Publication
        Versions in order of time.
    polls : tuple of Poll
        Statuses in order of time.
    stalls : tuple of Stall
        Spans for which bounds in seconds are extended.
    bursts : Mapping of str to float
        Burst of each organisation, the same at each service.
    cold_limit : int
        Cold limit of all services.
    retries : int
        Retries of a root request.
    peer_chunks : int
        Chunks of bytes between nodes in which keys were looked for.
    peer_leaks : tuple of str
        Links on which a key was seen.
    errors : tuple of str
        Unexpected errors in the logs and unexpected ends of processes.
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

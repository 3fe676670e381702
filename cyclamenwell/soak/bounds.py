"""Times by which a change must be in force at a node."""

from __future__ import annotations

from cyclamenwell.soak import history as histories

__all__ = [
    "IN_FORCE_MS",
    "LEAVING_MS",
    "MAX_VIEW_AGE_MS",
    "QUEUE_WAIT_MS",
    "WAKE_MS",
    "Bounds",
]

IN_FORCE_MS = 6_000.0  # Design, section 1, planned size.
MAX_VIEW_AGE_MS = 4_000.0  # Default of the setting `max_view_age`.
QUEUE_WAIT_MS = 200.0  # Default of the setting `max_queue_wait`.
# The design says "a few seconds" without a number.
LEAVING_MS = 4_000.0
# A node that is paused between its last check of a call and the sending sends
# it when it wakes; no check can prevent that.
WAKE_MS = 1_000.0
_PAUSE = "pause"
_LINKS = "links"
_PLATFORM = "platform"


class Bounds:
    """Works out bounds from the faults and stalls of a run.

    Parameters
    ----------
    history : histories.History
        The run.
    """

    def __init__(self, history: histories.History) -> None:
        self._stalls = history.stalls
        self._pauses = [f for f in history.faults if f.kind == _PAUSE]
        self._outages = sorted(
            (f for f in history.faults if f.kind == _PLATFORM),
            key=lambda fault: fault.begin,
        )
        self._cuts = [
            f for f in history.faults if f.kind == _LINKS and f.whole_side
        ]

    def find_visible(self, at: float) -> float:
        """Return when readers can have read what was published at a time.

        Notes
        -----
        A platform that is down or stale delays it to the end of the outage. So
        does one that fails before all had time to read.
        """
        for outage in self._outages:
            if outage.overlaps(at, at + IN_FORCE_MS):
                at = max(at, outage.end)
        return at

    def find_deadline(
        self, at: float, instance: str, lengths: float, keyed: bool = False
    ) -> tuple[float, float]:
        """Return the strict and the allowed time for a change at a node.

        Parameters
        ----------
        at : float
            Time of the publication.
        instance : str
            The node.
        lengths : float
            Time that the design gives to a node in contact with the fleet.
        keyed : bool
            Whether it concerns keyed calls, which a node that is cut off alone
            refuses by itself.

        Returns
        -------
        tuple of float and float
            Time for a node in contact with the fleet, and time with what the
            design allows to a node that is paused or cut off.
        """
        begin = self.find_visible(at)
        strict = begin + lengths
        strict += self.sum_stalls(begin, strict, instance)
        allowed = strict
        changed = True
        while changed:
            changed = False
            for fault in self._find_disturbances(instance, keyed):
                later = fault.end + IN_FORCE_MS
                if fault.overlaps(begin, allowed) and later > allowed:
                    allowed = later
                    changed = True
        return strict, allowed + self.sum_stalls(strict, allowed, instance)

    def sum_stalls(self, begin: float, end: float, instance: str) -> float:
        """Return the time in a span for which a node got too little time."""
        return sum(
            max(min(stall.end, end) - max(stall.begin, begin), 0.0)
            for stall in self._stalls
            if stall.instance in ("", instance)
        )

    def just_woke(self, instance: str, at: float) -> bool:
        """Return whether a node was paused until shortly before a time."""
        return any(
            instance in pause.subjects
            and pause.begin <= at <= pause.end + WAKE_MS
            for pause in self._pauses
        )

    def _find_disturbances(
        self, instance: str, keyed: bool
    ) -> list[histories.FaultRecord]:
        cuts = [
            cut
            for cut in self._cuts
            if instance in cut.subjects
            and not (keyed and len(cut.subjects) == 1)
        ]
        if keyed:
            # The age of the view covers pauses.
            return cuts
        return cuts + [p for p in self._pauses if instance in p.subjects]

"""Times by which a change must be in effect at a node."""

from __future__ import annotations

from cyclamenwell.soak import history as histories

__all__ = [
    "LEAVING_MS",
    "MAX_VIEW_AGE_MS",
    "PROPAGATION_MS",
    "QUEUE_WAIT_MS",
    "RESUME_MS",
    "Bounds",
]

PROPAGATION_MS = 6_000.0  # Design page, section 1, planned size.
MAX_VIEW_AGE_MS = 4_000.0  # Default of the setting `max_view_age`.
QUEUE_WAIT_MS = 200.0  # Default of the setting `max_queue_wait`.
# The design page says "a few seconds" and gives no number.
LEAVING_MS = 4_000.0
# A node that is paused after its last check of a call and before it sends the
# call sends it as soon as it resumes; no check can prevent that.
RESUME_MS = 1_000.0
_PAUSE = "pause"
_LINKS = "links"
_PLATFORM = "platform"


class Bounds:
    """Computes time bounds from the faults and stalls of a run.

    Parameters
    ----------
    history : histories.History
        Records of the run.
    """

    def __init__(self, history: histories.History) -> None:
        self._stalls = history.stalls
        self._pauses = [
            fault for fault in history.faults if fault.kind == _PAUSE
        ]
        self._outages = sorted(
            (fault for fault in history.faults if fault.kind == _PLATFORM),
            key=lambda fault: fault.begin,
        )
        self._cuts = [
            fault
            for fault in history.faults
            if fault.kind == _LINKS and fault.whole_side
        ]

    def find_readable_time(self, at: float) -> float:
        """Return when readers can read what was published at a time.

        Notes
        -----
        An outage of the platform (down or stale) delays reading until it ends.
        So does one that begins before every reader had time to read.
        """
        for outage in self._outages:
            if outage.overlaps(at, at + PROPAGATION_MS):
                at = max(at, outage.end)
        return at

    def find_deadline(
        self, at: float, instance: str, allowance: float, keyed: bool = False
    ) -> tuple[float, float]:
        """Return the strict and the allowed deadline of a change at a node.

        Parameters
        ----------
        at : float
            Time of the publication.
        instance : str
            The node.
        allowance : float
            Milliseconds that the design page gives a node that is connected
            to the fleet.
        keyed : bool
            Whether the change concerns calls with an API key, which a node
            that is cut off from all others refuses without outside help.

        Returns
        -------
        tuple of float and float
            Deadline of a node that is connected to the fleet, and deadline
            including what the design page allows a node that is paused or cut
            off.
        """
        begin = self.find_readable_time(at)
        strict = begin + allowance
        strict += self.sum_stalls(begin, strict, instance)
        allowed = strict
        changed = True
        while changed:
            changed = False
            for fault in self._find_disturbances(instance, keyed):
                later = fault.end + PROPAGATION_MS
                if fault.overlaps(begin, allowed) and later > allowed:
                    allowed = later
                    changed = True
        return strict, allowed + self.sum_stalls(strict, allowed, instance)

    def sum_stalls(self, begin: float, end: float, instance: str) -> float:
        """Return how much of a time span a node spent in stalls."""
        return sum(
            max(min(stall.end, end) - max(stall.begin, begin), 0.0)
            for stall in self._stalls
            if stall.instance in ("", instance)
        )

    def was_recently_paused(self, instance: str, at: float) -> bool:
        """Return whether a node was paused at a time or shortly before."""
        return any(
            instance in pause.subjects
            and pause.begin <= at <= pause.end + RESUME_MS
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
            # The maximum age of the view already covers pauses.
            return cuts
        return cuts + [
            pause for pause in self._pauses if instance in pause.subjects
        ]

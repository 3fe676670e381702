"""Registrar: grants each idempotency key to one claim."""

from __future__ import annotations

import collections
import dataclasses
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.idempotency import answers
from cyclamenwell.idempotency import keys
from cyclamenwell.idempotency import views
from cyclamenwell.membership import rendezvous

__all__ = ["Registrar"]

_Kind = enumerations.ErrorKind
_MAX_GRANTS = 200_000  # About 80 MB would be reached beyond; claims wait then.


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    """A key that is held by a claim."""

    claim_id: bytes
    holder: str
    holder_incarnation: int
    fingerprint: bytes
    made_at: clock.Milliseconds


class Registrar:
    """Decides claims for the keys that this instance registers.

    Parameters
    ----------
    instance : str
        Name of this instance.
    time : clock.Clock
        Clock of the node.
    source : views.ViewSource
        Views of the own service.
    limits : settings.IdempotencySettings
        Ages and number of registrars.

    Notes
    -----
    A key is granted to the first claim and stays granted until it is too old
    to be claimed at all, or until the claim is released. A registrar grants
    only keys that were made after it could have missed no earlier claim: after
    it settled on its first view, and while it was a registrar of the key in
    every view in force since.
    """

    def __init__(
        self,
        instance: str,
        time: clock.Clock,
        source: views.ViewSource,
        limits: settings.IdempotencySettings,
    ) -> None:
        self._instance = instance
        self._time = time
        self._source = source
        self._limits = limits
        self._lock = threading.Lock()
        self._grants: dict[answers.RequestKey, _Grant] = {}
        self._order: collections.deque[answers.RequestKey] = collections.deque()

    def decide(self, request: messages.ClaimRequest) -> messages.ClaimReply:
        """Grant or refuse a claim.

        Parameters
        ----------
        request : messages.ClaimRequest
            The claim. A repeated message gets the same decision.

        Returns
        -------
        messages.ClaimReply
            The decision; it names the holder if another claim holds the key.
        """
        key = answers.RequestKey(request.organisation, request.idempotency_key)
        try:
            made_at = keys.read_time(request.idempotency_key)
        except exceptions.RefusedError as refusal:
            return _refuse(request, refusal.kind)
        with self._lock:
            self._drop_old()
            held = self._grants.get(key)
            if held is not None:
                return _compare(request, held)
            problem = self._find_problem(request.idempotency_key, made_at)
            if problem is not None:
                return _refuse(request, problem)
            self._grants[key] = _Grant(
                request.claim_id,
                request.sender.instance,
                request.sender.incarnation,
                request.fingerprint,
                made_at,
            )
            self._order.append(key)
        return messages.ClaimReply(claim_id=request.claim_id, granted=True)

    def release(
        self, request: messages.ReleaseRequest
    ) -> messages.ReleaseReply:
        """Forget a claim whose request has not run and will not run."""
        key = answers.RequestKey(request.organisation, request.idempotency_key)
        with self._lock:
            held = self._grants.get(key)
            if held is None or held.claim_id != request.claim_id:
                return messages.ReleaseReply(released=False)
            del self._grants[key]
        return messages.ReleaseReply(released=True)

    def _find_problem(
        self, key: str, made_at: clock.Milliseconds
    ) -> enumerations.ErrorKind | None:
        """Return why this registrar can not know all claims of a key."""
        now = self._time.wall()
        skew = self._limits.max_clock_skew
        if made_at > now + skew or made_at < now - self._limits.max_key_age:
            return _Kind.KEY_TOO_OLD
        settled = self._source.find_settled_time()
        if settled is None or made_at <= settled + skew:
            return _Kind.KEY_TOO_OLD
        if len(self._grants) >= _MAX_GRANTS:
            return _Kind.CLAIM_UNAVAILABLE
        for view in self._source.list_views_since(made_at - skew):
            chosen = rendezvous.choose_members(
                key, view.members, self._limits.registrars
            )
            if self._instance not in chosen:
                return _Kind.CLAIM_UNAVAILABLE
        return None

    def _drop_old(self) -> None:
        """Forget keys that no registrar would grant any more."""
        oldest = (
            self._time.wall()
            - self._limits.max_key_age
            - self._limits.max_clock_skew * 2
        )
        # Keys arrive almost in the order of their times, so only the front is
        # looked at; a key with a later time in front delays the others.
        while self._order:
            held = self._grants.get(self._order[0])
            if held is not None and held.made_at >= oldest:
                return
            key = self._order.popleft()
            if held is not None:
                del self._grants[key]


def _compare(
    request: messages.ClaimRequest, held: _Grant
) -> messages.ClaimReply:
    if held.claim_id == request.claim_id:
        return messages.ClaimReply(claim_id=request.claim_id, granted=True)
    kind = _Kind.KEY_IN_USE
    if held.fingerprint != request.fingerprint:
        kind = _Kind.KEY_MISMATCH
    return messages.ClaimReply(
        claim_id=request.claim_id,
        refusal=kind,
        holder=held.holder,
        holder_incarnation=held.holder_incarnation,
    )


def _refuse(
    request: messages.ClaimRequest, kind: enumerations.ErrorKind
) -> messages.ClaimReply:
    return messages.ClaimReply(claim_id=request.claim_id, refusal=kind)

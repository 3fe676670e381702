"""Registrar that grants each idempotency key to only one claim."""

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
_MAX_GRANTS = 200_000  # About 80 MB; further claims are refused.


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    """A claim that holds a key."""

    claim_id: bytes
    holder: str
    holder_incarnation: int
    fingerprint: bytes
    made_at: clock.Milliseconds


class Registrar:
    """Decides claims for the keys of which this instance is a registrar.

    Parameters
    ----------
    instance : str
        Name of this instance.
    time : clock.Clock
        Clock of the node.
    source : views.ViewSource
        Views of the node's own service.
    limits : settings.IdempotencySettings
        Largest key age, largest clock skew and number of registrars.

    Notes
    -----
    A key is granted to the first claim and stays granted until it is too old
    to be claimed at all, or until the claim is released. A registrar grants a
    key only if it can not have missed an earlier claim: the key was made after
    the registrar settled on its first view, and the instance has been a
    registrar of the key in every live view since the key was made. Both
    conditions allow for the largest clock skew.
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
        self._grant_order: collections.deque[answers.RequestKey] = (
            collections.deque()
        )

    def decide(self, request: messages.ClaimRequest) -> messages.ClaimReply:
        """Grant or refuse a claim.

        Parameters
        ----------
        request : messages.ClaimRequest
            The claim. A repeated message for a granted claim is granted again.

        Returns
        -------
        messages.ClaimReply
            The decision, with the holder if another claim holds the key.
        """
        key = answers.RequestKey(request.organisation, request.idempotency_key)
        try:
            made_at = keys.read_time(request.idempotency_key)
        except exceptions.RefusedError as refusal:
            return _build_refusal_reply(request, refusal.kind)
        with self._lock:
            self._drop_expired()
            held = self._grants.get(key)
            if held is not None:
                return _build_held_reply(request, held)
            refusal_kind = self._find_refusal(request.idempotency_key, made_at)
            if refusal_kind is not None:
                return _build_refusal_reply(request, refusal_kind)
            self._grants[key] = _Grant(
                request.claim_id,
                request.sender.instance,
                request.sender.incarnation,
                request.fingerprint,
                made_at,
            )
            self._grant_order.append(key)
        return messages.ClaimReply(claim_id=request.claim_id, granted=True)

    def release(
        self, request: messages.ReleaseRequest
    ) -> messages.ReleaseReply:
        """Remove the grant of a request that has not run and will not run.

        Returns
        -------
        messages.ReleaseReply
            Whether the claim held the key.
        """
        key = answers.RequestKey(request.organisation, request.idempotency_key)
        with self._lock:
            held = self._grants.get(key)
            if held is None or held.claim_id != request.claim_id:
                return messages.ReleaseReply(released=False)
            del self._grants[key]
        return messages.ReleaseReply(released=True)

    def _find_refusal(
        self, key: str, made_at: clock.Milliseconds
    ) -> enumerations.ErrorKind | None:
        """Return why a new claim is refused, None if it can be granted.

        A registrar refuses keys of which it may have missed a claim or for
        which it has no memory left.
        """
        now = self._time.wall_time()
        skew = self._limits.max_clock_skew
        if made_at > now + skew or made_at < now - self._limits.max_key_age:
            return _Kind.KEY_TOO_OLD
        settled_at = self._source.find_settled_time()
        if settled_at is None or made_at <= settled_at + skew:
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

    def _drop_expired(self) -> None:
        """Remove grants of keys that are too old for any registrar to grant."""
        expiry_limit = (
            self._time.wall_time()
            - self._limits.max_key_age
            - self._limits.max_clock_skew * 2
        )
        # Keys arrive almost in the order of their timestamps, so only the front
        # is checked. A later timestamp at the front only delays the removal of
        # the keys behind it.
        while self._grant_order:
            held = self._grants.get(self._grant_order[0])
            if held is not None and held.made_at >= expiry_limit:
                return
            key = self._grant_order.popleft()
            if held is not None:
                del self._grants[key]


def _build_held_reply(
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


def _build_refusal_reply(
    request: messages.ClaimRequest, kind: enumerations.ErrorKind
) -> messages.ClaimReply:
    return messages.ClaimReply(claim_id=request.claim_id, refusal=kind)

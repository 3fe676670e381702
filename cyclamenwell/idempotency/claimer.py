"""Claimer: obtains the right to run a non-idempotent request."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import dataclasses
import functools
import secrets
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.idempotency import answers
from cyclamenwell.idempotency import views
from cyclamenwell.membership import rendezvous

__all__ = ["Claim", "Claimer", "ClaimHeldError", "SendMessage"]

_Kind = enumerations.ErrorKind
_CLAIM_ID_BYTES = 16
_MAX_VIEW_CHANGES = 3  # View changes that one claim follows.
_SENDERS = 32
_RETRY_AFTER = clock.Milliseconds(1000)

SendMessage = Callable[[str, Any, clock.Milliseconds], Any]


class ClaimHeldError(exceptions.CyclamenwellError):
    """Another claim holds the key.

    Parameters
    ----------
    holder : str
        Instance that holds it.
    incarnation : int
        Process that holds it.
    """

    def __init__(self, holder: str, incarnation: int) -> None:
        super().__init__(f"instance {holder} holds the key")
        self.holder = holder
        self.incarnation = incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim that a majority of registrars granted in every live view.

    Parameters
    ----------
    claim_id : bytes
        16 random bytes.
    key : answers.RequestKey
        Key of the request.
    registrars : tuple of str
        Instances that were asked.
    """

    claim_id: bytes
    key: answers.RequestKey
    registrars: tuple[str, ...]


class _Ballot:
    """Decisions of the registrars on one claim."""

    def __init__(self) -> None:
        self.asked: set[str] = set()
        self.granted: set[str] = set()
        self.held: messages.ClaimReply | None = None
        self.refusal: enumerations.ErrorKind | None = None

    def count(self, member: str, reply: Any) -> None:
        if not isinstance(reply, messages.ClaimReply):
            return
        if reply.granted:
            self.granted.add(member)
        elif reply.holder:
            self.held = reply
        elif self.refusal is None:
            self.refusal = reply.refusal

    def is_won(self, quorums: list[tuple[str, ...]]) -> bool:
        return all(
            len(self.granted.intersection(quorum)) > len(quorum) // 2
            for quorum in quorums
        )


class Claimer:
    """Claims idempotency keys at their registrars.

    Parameters
    ----------
    source : views.ViewSource
        Views of the own service.
    send : SendMessage
        Sends a message to an instance, the own one included, and returns the
        reply; raises `exceptions.PeerUnavailableError`.
    registrars : int
        Registrars of each key in each view.
    timeout : clock.Milliseconds
        Time for one message and its reply.

    Notes
    -----
    All counted nodes have at least one live view in common. A claim needs a
    majority of the key's registrars in each live view of the claimer, also in
    those that are added while it asks. Two claims of one key therefore meet in
    a registrar of the common view, which grants only the first.
    """

    def __init__(
        self,
        source: views.ViewSource,
        send: SendMessage,
        registrars: int,
        timeout: clock.Milliseconds,
    ) -> None:
        self._source = source
        self._send = send
        self._registrars = registrars
        self._timeout = timeout
        self._senders = futures.ThreadPoolExecutor(_SENDERS, "claims")

    def claim(self, key: answers.RequestKey, fingerprint: bytes) -> Claim:
        """Obtain the right to run a request.

        Parameters
        ----------
        key : answers.RequestKey
            Key of the request.
        fingerprint : bytes
            SHA-256 over service, method, path and body.

        Returns
        -------
        Claim
            The granted claim.

        Raises
        ------
        ClaimHeldError
            If another claim of the same request holds the key.
        exceptions.RefusedError
            As KEY_MISMATCH, KEY_TOO_OLD or CLAIM_UNAVAILABLE. The claim has
            been released, so it never leads to a run.
        """
        claim_id = secrets.token_bytes(_CLAIM_ID_BYTES)
        request = messages.ClaimRequest(
            claim_id=claim_id,
            idempotency_key=key.key,
            organisation=key.organisation,
            fingerprint=fingerprint,
        )
        ballot = _Ballot()
        won = self._ask_all_views(request, ballot)
        claim = Claim(claim_id, key, tuple(ballot.asked))
        if won:
            return claim
        self.release(claim)
        raise _describe_loss(ballot)

    def release(self, claim: Claim) -> None:
        """Give back a claim whose request has not run and will not run.

        Notes
        -----
        A registrar that is not reached keeps the key until it is too old: the
        request can then not run under this key, which is safe.
        """
        request = messages.ReleaseRequest(
            claim_id=claim.claim_id,
            idempotency_key=claim.key.key,
            organisation=claim.key.organisation,
        )
        sent = [
            self._senders.submit(self._ask, member, request)
            for member in claim.registrars
        ]
        futures.wait(sent)

    def close(self) -> None:
        """End the sending threads."""
        self._senders.shutdown(wait=False, cancel_futures=True)

    def _ask_all_views(
        self, request: messages.ClaimRequest, ballot: _Ballot
    ) -> bool:
        """Ask until every live view is covered, views added meanwhile too."""
        for _ in range(_MAX_VIEW_CHANGES):
            quorums = self._list_quorums(request.idempotency_key)
            if not quorums:
                return False
            self._ask_registrars(request, quorums, ballot)
            if not ballot.is_won(quorums):
                return False
            if ballot.is_won(self._list_quorums(request.idempotency_key)):
                return True
        return False

    def _list_quorums(self, key: str) -> list[tuple[str, ...]]:
        return [
            rendezvous.choose_members(key, view.members, self._registrars)
            for view in self._source.list_live_views()
        ]

    def _ask_registrars(
        self,
        request: messages.ClaimRequest,
        quorums: list[tuple[str, ...]],
        ballot: _Ballot,
    ) -> None:
        members = {member for quorum in quorums for member in quorum}
        pending = {
            self._senders.submit(self._ask, member, request): member
            for member in members - ballot.asked
        }
        ballot.asked |= members
        for done in futures.as_completed(pending):
            ballot.count(pending[done], done.result())
            if ballot.is_won(quorums) or ballot.held is not None:
                return

    def _ask(self, member: str, request: Any) -> Any:
        try:
            return self._send(member, request, self._timeout)
        except exceptions.PeerUnavailableError:
            return None


@functools.singledispatch
def _describe_refusal(kind: object) -> exceptions.RefusedError:
    """Return the refusal when registrars could not be reached."""
    del kind
    return exceptions.RefusedError(
        _Kind.CLAIM_UNAVAILABLE,
        "a majority of the registrars of this idempotency key did not answer",
        _RETRY_AFTER,
    )


@_describe_refusal.register
def _(kind: enumerations.ErrorKind) -> exceptions.RefusedError:
    return exceptions.RefusedError(
        kind,
        "the registrars can not tell whether a request with this idempotency "
        "key has run",
        _RETRY_AFTER,
    )


def _describe_loss(ballot: _Ballot) -> exceptions.CyclamenwellError:
    if ballot.held is None:
        return _describe_refusal(ballot.refusal)
    if ballot.held.refusal is _Kind.KEY_MISMATCH:
        return exceptions.RefusedError(
            _Kind.KEY_MISMATCH,
            "the idempotency key was used for another request",
        )
    return ClaimHeldError(ballot.held.holder, ballot.held.holder_incarnation)

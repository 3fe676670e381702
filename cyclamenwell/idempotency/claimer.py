"""Claims of the right to run a non-idempotent request, by majority."""

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
_MAX_VIEW_CHANGES = 3  # Rounds of requests in one claim as views change.
_MAX_SENDER_THREADS = 32
_RETRY_AFTER = clock.Milliseconds(1000)

SendMessage = Callable[[str, Any, clock.Milliseconds], Any]


class ClaimHeldError(exceptions.CyclamenwellError):
    """Another claim holds the key.

    Parameters
    ----------
    holder : str
        Instance that holds the key.
    incarnation : int
        Incarnation of the process that holds the key.
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
        Identifier, 16 random bytes.
    key : answers.RequestKey
        Key of the request.
    registrars : tuple of str
        Instances to which the claim was sent.
    """

    claim_id: bytes
    key: answers.RequestKey
    registrars: tuple[str, ...]


class _Votes:
    """Votes of the registrars on one claim."""

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

    def has_majority(self, registrar_sets: list[tuple[str, ...]]) -> bool:
        return all(
            len(self.granted.intersection(registrar_set))
            > len(registrar_set) // 2
            for registrar_set in registrar_sets
        )


class Claimer:
    """Claims idempotency keys at their registrars.

    Parameters
    ----------
    source : views.ViewSource
        Views of the node's own service.
    send : SendMessage
        Sends a message to an instance, which may be this one, and returns the
        reply; raises `exceptions.PeerUnavailableError`.
    registrars : int
        Number of registrars of each key in each view.
    timeout : clock.Milliseconds
        Time limit for one message and its reply.

    Notes
    -----
    All counted nodes have at least one live view in common. A claim needs a
    majority of the key's registrars in each live view of the claimer,
    including views that are added during the claim. The majorities of two
    claims of one key therefore overlap in a registrar of the common view, which
    grants only the first claim.
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
        self._executor = futures.ThreadPoolExecutor(
            _MAX_SENDER_THREADS, "claims"
        )

    def claim(self, key: answers.RequestKey, fingerprint: bytes) -> Claim:
        """Obtain the right to run a request.

        Parameters
        ----------
        key : answers.RequestKey
            Key of the request.
        fingerprint : bytes
            SHA-256 digest of service, method, path and body.

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
            been released and the request must not run under it.
        """
        claim_id = secrets.token_bytes(_CLAIM_ID_BYTES)
        request = messages.ClaimRequest(
            claim_id=claim_id,
            idempotency_key=key.key,
            organisation=key.organisation,
            fingerprint=fingerprint,
        )
        votes = _Votes()
        is_granted = self._claim_in_all_views(request, votes)
        claim = Claim(claim_id, key, tuple(votes.asked))
        if is_granted:
            return claim
        self.release(claim)
        raise _build_claim_error(votes)

    def release(self, claim: Claim) -> None:
        """Release a claim whose request has not run and will not run.

        Notes
        -----
        A registrar that can not be reached keeps the grant until the key is too
        old. The request can then not run under this key, which is safe.
        """
        request = messages.ReleaseRequest(
            claim_id=claim.claim_id,
            idempotency_key=claim.key.key,
            organisation=claim.key.organisation,
        )
        sent = [
            self._executor.submit(self._ask, member, request)
            for member in claim.registrars
        ]
        futures.wait(sent)

    def close(self) -> None:
        """Shut down the threads that send messages."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _claim_in_all_views(
        self, request: messages.ClaimRequest, votes: _Votes
    ) -> bool:
        """Ask the registrars of all live views, also of views added meanwhile.

        Returns
        -------
        bool
            Whether a majority granted the claim in every live view.
        """
        for _ in range(_MAX_VIEW_CHANGES):
            registrar_sets = self._list_registrar_sets(request.idempotency_key)
            if not registrar_sets:
                return False
            self._ask_registrars(request, registrar_sets, votes)
            if not votes.has_majority(registrar_sets):
                return False
            if votes.has_majority(
                self._list_registrar_sets(request.idempotency_key)
            ):
                return True
        return False

    def _list_registrar_sets(self, key: str) -> list[tuple[str, ...]]:
        return [
            rendezvous.choose_members(key, view.members, self._registrars)
            for view in self._source.list_live_views()
        ]

    def _ask_registrars(
        self,
        request: messages.ClaimRequest,
        registrar_sets: list[tuple[str, ...]],
        votes: _Votes,
    ) -> None:
        members = {
            member
            for registrar_set in registrar_sets
            for member in registrar_set
        }
        pending = {
            self._executor.submit(self._ask, member, request): member
            for member in members - votes.asked
        }
        votes.asked |= members
        for future in futures.as_completed(pending):
            votes.count(pending[future], future.result())
            if votes.has_majority(registrar_sets) or votes.held is not None:
                return

    def _ask(self, member: str, request: Any) -> Any:
        try:
            return self._send(member, request, self._timeout)
        except exceptions.PeerUnavailableError:
            return None


@functools.singledispatch
def _build_refusal(kind: object) -> exceptions.RefusedError:
    """Return the refusal of a claim without a majority of registrars.

    The default is for registrars that did not answer.
    """
    del kind
    return exceptions.RefusedError(
        _Kind.CLAIM_UNAVAILABLE,
        "a majority of the registrars of this idempotency key did not answer",
        _RETRY_AFTER,
    )


@_build_refusal.register
def _(kind: enumerations.ErrorKind) -> exceptions.RefusedError:
    return exceptions.RefusedError(
        kind,
        "the registrars can not tell whether a request with this idempotency "
        "key has run",
        _RETRY_AFTER,
    )


def _build_claim_error(votes: _Votes) -> exceptions.CyclamenwellError:
    if votes.held is None:
        return _build_refusal(votes.refusal)
    if votes.held.refusal is _Kind.KEY_MISMATCH:
        return exceptions.RefusedError(
            _Kind.KEY_MISMATCH,
            "the idempotency key was used for another request",
        )
    return ClaimHeldError(votes.held.holder, votes.held.holder_incarnation)

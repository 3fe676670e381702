"""At-most-once execution of non-idempotent requests."""

from __future__ import annotations

from collections.abc import Callable
import hashlib

from cyclamenwell import answers as answer_table
from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.idempotency import answers
from cyclamenwell.idempotency import claimer as claimers

__all__ = ["Guard", "compute_fingerprint"]

_Kind = enumerations.ErrorKind
_RETRY_AFTER = clock.Milliseconds(1000)
_DETAILS = {
    _Kind.KEY_IN_USE: "a request with this idempotency key is running",
    _Kind.KEY_MISMATCH: "the idempotency key was used for another request",
    _Kind.ANSWER_LOST: (
        "a request with this idempotency key was started; its answer is not "
        "kept"
    ),
}


def compute_fingerprint(
    service: str, method: str, path: str, body: bytes
) -> bytes:
    """Return the SHA-256 digest that identifies a request, 32 bytes."""
    head = f"{service}\n{method}\n{path}\n".encode()
    return hashlib.sha256(head + body).digest()


class Guard:
    """Runs a request only with a granted claim, and answers repeats.

    Parameters
    ----------
    cache : answers.AnswerCache
        Answers to requests that ran at this node.
    claimer : claimers.Claimer
        Claims idempotency keys.
    send : claimers.SendMessage
        Sends a message to the instance that holds a key.
    timeout : clock.Milliseconds
        Time limit for the reply of that instance.
    """

    def __init__(
        self,
        cache: answers.AnswerCache,
        claimer: claimers.Claimer,
        send: claimers.SendMessage,
        timeout: clock.Milliseconds,
    ) -> None:
        self._cache = cache
        self._claimer = claimer
        self._send = send
        self._timeout = timeout

    def run(
        self,
        key: answers.RequestKey,
        fingerprint: bytes,
        action: Callable[[], answers.CachedAnswer],
    ) -> answers.CachedAnswer:
        """Run a request, or return the answer of its previous run.

        Parameters
        ----------
        key : answers.RequestKey
            Key of the request.
        fingerprint : bytes
            Digest that tells whether a repeat is the same request.
        action : callable
            Sends the request to the target; called at most once, and only
            with a granted claim.

        Returns
        -------
        answers.CachedAnswer
            The complete answer.

        Raises
        ------
        exceptions.RefusedError
            As raised by `action` and by `claimers.Claimer.claim`, or as
            KEY_IN_USE or ANSWER_LOST for a repeat.
        """
        found = self._cache.find(key, fingerprint)
        if isinstance(found, answers.CachedAnswer):
            return found
        if found is not _Kind.ANSWER_LOST:
            raise _build_refusal(found)
        try:
            claim = self._claimer.claim(key, fingerprint)
        except claimers.ClaimHeldError as held:
            return self._fetch_answer(key, fingerprint, held)
        return self._run_claimed(claim, fingerprint, action)

    def answer_peer(
        self, request: messages.AnswerRequest
    ) -> messages.AnswerReply:
        """Reply to a peer that asks for a cached answer.

        Returns
        -------
        messages.AnswerReply
            The answer, or the reason why there is none.
        """
        found = self._cache.find(
            answers.RequestKey(request.organisation, request.idempotency_key),
            request.fingerprint,
        )
        if isinstance(found, answers.CachedAnswer):
            return messages.AnswerReply(
                status=found.status, headers=found.headers, body=found.body
            )
        return messages.AnswerReply(refusal=found)

    def _run_claimed(
        self,
        claim: claimers.Claim,
        fingerprint: bytes,
        action: Callable[[], answers.CachedAnswer],
    ) -> answers.CachedAnswer:
        self._cache.begin(claim.key, fingerprint)
        answer = None
        try:
            answer = action()
            return answer
        except exceptions.RefusedError as refusal:
            outcome = answer_table.ANSWERS[refusal.kind].outcome
            if outcome is enumerations.Outcome.NOT_RUN:
                self._claimer.release(claim)
            raise
        finally:
            self._cache.finish(claim.key, answer)

    def _fetch_answer(
        self,
        key: answers.RequestKey,
        fingerprint: bytes,
        held: claimers.ClaimHeldError,
    ) -> answers.CachedAnswer:
        request = messages.AnswerRequest(
            idempotency_key=key.key,
            organisation=key.organisation,
            fingerprint=fingerprint,
        )
        try:
            reply = self._send(held.holder, request, self._timeout)
        except exceptions.PeerUnavailableError:
            reply = None
        if not isinstance(reply, messages.AnswerReply):
            raise _build_refusal(_Kind.ANSWER_LOST)
        if reply.refusal is not None:
            raise _build_refusal(reply.refusal)
        return answers.CachedAnswer(reply.status, reply.headers, reply.body)


def _build_refusal(kind: enumerations.ErrorKind) -> exceptions.RefusedError:
    retry_after = _RETRY_AFTER if kind is _Kind.KEY_IN_USE else clock.ZERO
    return exceptions.RefusedError(kind, _DETAILS[kind], retry_after)

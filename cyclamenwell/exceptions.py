"""Exceptions of the project."""

from __future__ import annotations

from cyclamenwell import clock
from cyclamenwell.generated import enumerations

__all__ = [
    "CyclamenwellError",
    "DocumentError",
    "InputError",
    "PeerUnavailableError",
    "PlatformError",
    "ProtocolError",
    "RefusedError",
    "SettingsError",
]


class CyclamenwellError(Exception):
    """Base of all exceptions of the project."""


class InputError(CyclamenwellError):
    """Settings or a document that do not match the schema.

    Parameters
    ----------
    problems : tuple of str
        One line for each problem, with its place.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class SettingsError(InputError):
    """Settings of a program that can not be used."""


class DocumentError(InputError):
    """A document that can not be accepted."""


class ProtocolError(CyclamenwellError):
    """A peer sent something that is not a message of the protocol."""


class PeerUnavailableError(CyclamenwellError):
    """A peer could not be reached or did not reply in time.

    Parameters
    ----------
    detail : str
        What happened, with the peer's address.
    sent : bool
        Whether any byte of the message may have reached the peer.
    refused : bool
        Whether the peer's address refused the connection, which means that no
        process listens there.
    """

    def __init__(self, detail: str, *, sent: bool, refused: bool) -> None:
        super().__init__(detail)
        self.sent = sent
        self.refused = refused


class PlatformError(CyclamenwellError):
    """The platform's service failed or gave an unusable answer."""


class RefusedError(CyclamenwellError):
    """A request that gets no whole answer.

    Parameters
    ----------
    kind : enumerations.ErrorKind
        Reason, which decides the answer.
    detail : str
        Explanation for the caller.
    retry_after : clock.Milliseconds
        When the caller may try again.
    retried : bool
        Whether the failure was already retried by a node further down.
    """

    def __init__(
        self,
        kind: enumerations.ErrorKind,
        detail: str,
        retry_after: clock.Milliseconds = clock.ZERO,
        retried: bool = False,
    ) -> None:
        super().__init__(f"{kind.name}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after = retry_after
        self.retried = retried
        self.retries_left = 0  # Lent retries that the refused attempt kept.

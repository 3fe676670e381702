"""Exceptions of the package."""

from __future__ import annotations

from cyclamenwell import clock
from cyclamenwell.generated import enumerations

__all__ = [
    "BrokenAnswerError",
    "CyclamenwellError",
    "DocumentError",
    "InputError",
    "PeerUnavailableError",
    "PlatformError",
    "ProtocolError",
    "ReceiverGoneError",
    "RefusedError",
    "SettingsError",
]


class CyclamenwellError(Exception):
    """Base class of all exceptions of the package."""


class InputError(CyclamenwellError):
    """Invalid settings or an invalid document.

    Parameters
    ----------
    problems : tuple of str
        One line for each problem, with its location.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class SettingsError(InputError):
    """Invalid settings of a program."""


class DocumentError(InputError):
    """Invalid document."""


class ProtocolError(CyclamenwellError):
    """Data from a peer that violates the protocol."""


class BrokenAnswerError(CyclamenwellError):
    """An answer that broke off after a part of it was passed on."""


class ReceiverGoneError(CyclamenwellError):
    """The receiver of an answer has disconnected or does not read it."""


class PeerUnavailableError(CyclamenwellError):
    """A peer that cannot be reached or did not reply in time.

    Parameters
    ----------
    detail : str
        Description of the failure, with the peer's address.
    sent : bool
        Whether any byte of the message may have reached the peer.
    refused : bool
        Whether the connection was refused, which means that no process
        listens at the peer's address.
    """

    def __init__(self, detail: str, *, sent: bool, refused: bool) -> None:
        super().__init__(detail)
        self.sent = sent
        self.refused = refused


class PlatformError(CyclamenwellError):
    """The platform failed or sent an invalid response."""


class RefusedError(CyclamenwellError):
    """A request that gets no complete response.

    Parameters
    ----------
    kind : enumerations.ErrorKind
        Reason, which determines the response to the caller.
    detail : str
        Explanation for the caller.
    retry_after : clock.Milliseconds
        Time after which the caller may try again.
    retried : bool
        Whether a node further down the call chain has already retried.
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
        self.retries_left = 0  # Unspent retries lent to the refused attempt.

"""Identity of a node towards its peers."""

from __future__ import annotations

import dataclasses

from cyclamenwell.generated import messages

__all__ = ["Identity"]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name and incarnation of a node's process.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : int
        Incarnation of the process.
    """

    instance: str
    incarnation: int

    def address(
        self, receiver: str, receiver_incarnation: int = 0
    ) -> messages.Sender:
        """Return the sender field of a message to a peer.

        Parameters
        ----------
        receiver : str
            Name of the intended instance, empty if it is not known.
        receiver_incarnation : int
            Intended process, 0 for any.
        """
        return messages.Sender(
            self.instance, self.incarnation, receiver, receiver_incarnation
        )

    def accepts(self, sender: messages.Sender) -> bool:
        """Return whether a message is meant for this process."""
        if sender.receiver and sender.receiver != self.instance:
            return False
        return sender.receiver_incarnation in (0, self.incarnation)

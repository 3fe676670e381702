"""Identity of a node in messages to its peers."""

from __future__ import annotations

import dataclasses

from cyclamenwell.generated import messages

__all__ = ["Identity"]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Instance name and incarnation of the process of a node.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : int
        Incarnation of the process, which differs after each restart.
    """

    instance: str
    incarnation: int

    def build_sender(
        self, receiver: str, receiver_incarnation: int = 0
    ) -> messages.Sender:
        """Build the sender field of a message to a peer.

        Parameters
        ----------
        receiver : str
            Name of the instance that is addressed, empty if not known.
        receiver_incarnation : int
            Incarnation that is addressed, 0 for any.
        """
        return messages.Sender(
            self.instance, self.incarnation, receiver, receiver_incarnation
        )

    def accepts(self, sender: messages.Sender) -> bool:
        """Return whether a message is addressed to this process."""
        if sender.receiver and sender.receiver != self.instance:
            return False
        return sender.receiver_incarnation in (0, self.incarnation)

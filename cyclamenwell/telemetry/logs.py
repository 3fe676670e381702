"""Log lines with a fixed prefix for each part of the system."""

from __future__ import annotations

from absl import logging

__all__ = ["PartLog", "set_up"]


class PartLog:
    """Logger of one part.

    Parameters
    ----------
    part : str
        Prefix of the part, printed in brackets.
    """

    def __init__(self, part: str) -> None:
        self._prefix = f"[{part}] "

    def info(self, text: str, *arguments: object) -> None:
        """Log something that operators may want to follow."""
        logging.info(self._prefix + text, *arguments)

    def warn(self, text: str, *arguments: object) -> None:
        """Log something that operators should look at."""
        logging.warning(self._prefix + text, *arguments)

    def fail(self, text: str, *arguments: object) -> None:
        """Log an unexpected exception with its traceback."""
        logging.exception(self._prefix + text, *arguments)


def set_up() -> None:
    """Send the logs of a program to standard error from level info."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)

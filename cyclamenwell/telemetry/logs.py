"""Loggers that prefix each line with the name of a component."""

from __future__ import annotations

from absl import logging

__all__ = ["ComponentLogger", "configure_logging"]


class ComponentLogger:
    """Logger of one component.

    Parameters
    ----------
    component : str
        Name of the component, printed in brackets before each line.
    """

    def __init__(self, component: str) -> None:
        self._prefix = f"[{component}] "

    def info(self, message: str, *arguments: object) -> None:
        """Log an event of normal operation."""
        logging.info(self._prefix + message, *arguments)

    def warning(self, message: str, *arguments: object) -> None:
        """Log a condition that operators should look into."""
        logging.warning(self._prefix + message, *arguments)

    def exception(self, message: str, *arguments: object) -> None:
        """Log the exception that is being handled, with its traceback."""
        logging.exception(self._prefix + message, *arguments)


def configure_logging() -> None:
    """Log to standard error at level info and above."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)

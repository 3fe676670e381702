"""Asking the operations endpoint of a node."""

from __future__ import annotations

from typing import Any

import urllib3

from cyclamenwell import clock
from cyclamenwell import exceptions

__all__ = ["fetch"]

_TIMEOUT = clock.Milliseconds(5000)


def fetch(node: str, path: str) -> Any:
    """Return the JSON that a node gives.

    Parameters
    ----------
    node : str
        ``host:port`` of the operations endpoint.
    path : str
        Path such as ``/status``.

    Raises
    ------
    exceptions.PeerUnavailableError
        If the node does not answer as it should.
    """
    try:
        response = urllib3.request(
            "GET",
            f"http://{node}{path}",
            retries=False,
            timeout=_TIMEOUT.seconds,
        )
        if response.status == 200:
            return response.json()
        detail = f"status {response.status}"
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        detail = str(error)
    raise exceptions.PeerUnavailableError(
        f"node {node} gives no {path}: {detail}; is this its operations_port?",
        sent=True,
        refused=False,
    )

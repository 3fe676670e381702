"""Client of the operations endpoint of a node."""

from __future__ import annotations

from typing import Any

import urllib3

from cyclamenwell import clock
from cyclamenwell import exceptions

__all__ = ["fetch"]

_TIMEOUT = clock.Milliseconds(5000)


def fetch(node: str, path: str) -> Any:
    """Return the decoded JSON response of a node.

    Parameters
    ----------
    node : str
        ``host:port`` of the operations endpoint.
    path : str
        Path such as ``/status``.

    Raises
    ------
    exceptions.PeerUnavailableError
        If the request fails or the response is not valid.
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
        f"node {node}: GET {path} failed: {detail}; "
        "is this its operations_port?",
        sent=True,
        refused=False,
    )

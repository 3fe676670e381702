"""HTTP client for documents and the instance list of the platform."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import urllib3

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages

__all__ = ["PlatformClient", "PublishedDocuments", "PublishedList"]

_CONNECT_TIMEOUT = clock.Milliseconds(1000)
_MAX_CONNECTIONS = 3  # Two watches and one fallback read.
_READ_MARGIN = clock.Milliseconds(2000)  # Added to the requested wait.


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedDocuments:
    """Documents that changed after a revision.

    Parameters
    ----------
    revision : int
        Revision of the configuration service.
    documents : tuple of messages.DocumentText
        Changed documents.
    """

    revision: int
    documents: tuple[messages.DocumentText, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedList:
    """A revision of the instance list.

    Parameters
    ----------
    revision : int
        Revision of the list.
    instances : tuple of messages.InstanceEntry
        All entries.
    """

    revision: int
    instances: tuple[messages.InstanceEntry, ...]


class PlatformClient:
    """Long-polls the platform; each call counts as one read.

    Parameters
    ----------
    url : str
        Base URL.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=_MAX_CONNECTIONS
        )

    def watch_documents(
        self, after: int, wait: clock.Milliseconds
    ) -> PublishedDocuments:
        """Return the documents that changed after a revision.

        Parameters
        ----------
        after : int
            Last known revision, 0 for all documents.
        wait : clock.Milliseconds
            Maximum time that the platform may hold the request until a change.

        Raises
        ------
        exceptions.PlatformError
            If the platform fails or its response is malformed.
        """
        raw = self._get("documents", after, wait)
        try:
            return PublishedDocuments(
                int(raw["revision"]),
                tuple(_parse_document(item) for item in raw["documents"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise exceptions.PlatformError(
                f"malformed documents response from the platform: {error!r}"
            ) from error

    def watch_instances(
        self, after: int, wait: clock.Milliseconds
    ) -> PublishedList:
        """Return the instance list if it is newer than a revision.

        Raises
        ------
        exceptions.PlatformError
            If the platform fails or its response is malformed.
        """
        raw = self._get("instances", after, wait)
        try:
            return PublishedList(
                int(raw["revision"]),
                tuple(_parse_instance(item) for item in raw["instances"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise exceptions.PlatformError(
                f"malformed instances response from the platform: {error!r}"
            ) from error

    def _get(
        self, what: str, after: int, wait: clock.Milliseconds
    ) -> dict[str, Any]:
        timeout = urllib3.Timeout(
            connect=_CONNECT_TIMEOUT.seconds,
            read=(wait + _READ_MARGIN).seconds,
        )
        try:
            response = self._pool.request(
                "GET",
                f"{self._url}/v1/{what}",
                fields={"after": str(after), "wait_ms": str(int(wait.value))},
                timeout=timeout,
            )
            if response.status != 200:
                raise exceptions.PlatformError(
                    f"the platform returned status {response.status} for {what}"
                )
            return json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise exceptions.PlatformError(
                f"reading {what} from the platform failed: {error}"
            ) from error


def _parse_document(raw: dict[str, Any]) -> messages.DocumentText:
    return messages.DocumentText(
        str(raw["name"]), int(raw["version"]), str(raw["text"])
    )


def _parse_instance(raw: dict[str, Any]) -> messages.InstanceEntry:
    return messages.InstanceEntry(
        instance=str(raw["instance"]),
        service=str(raw["service"]),
        data_centre=str(raw["data_centre"]),
        region=str(raw["region"]),
        host=str(raw["host"]),
        caller_port=int(raw["caller_port"]),
        peer_port=int(raw["peer_port"]),
        state=enumerations.InstanceState[str(raw["state"]).upper()],
    )

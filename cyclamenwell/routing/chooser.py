"""Choosing the instance that shall run a request."""

from __future__ import annotations

from collections.abc import Collection
import random

from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories

__all__ = ["Chooser"]

_State = enumerations.InstanceState


class Chooser:
    """Chooses among the instances of a service.

    Parameters
    ----------
    directory : directories.Directory
        Instances and their reports.
    data_centre : str
        Data centre of this node.
    source : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        directory: directories.Directory,
        data_centre: str,
        source: random.Random,
    ) -> None:
        self._directory = directory
        self._data_centre = data_centre
        self._source = source

    def choose(
        self,
        service: str,
        data_centres_out: Collection[str],
        tried: Collection[str],
    ) -> messages.InstanceEntry:
        """Choose an instance.

        Parameters
        ----------
        service : str
            Called service.
        data_centres_out : collection of str
            Data centres that get no new work.
        tried : collection of str
            Instances that have refused this request.

        Returns
        -------
        messages.InstanceEntry
            The chosen instance.

        Raises
        ------
        exceptions.RefusedError
            As NO_INSTANCE if none is left.
        """
        candidates = [
            entry
            for entry in self._directory.list_service(service)
            if entry.instance not in tried
            and entry.data_centre not in data_centres_out
            and entry.state is not _State.LEAVING
        ]
        if not candidates:
            raise exceptions.RefusedError(
                enumerations.ErrorKind.NO_INSTANCE,
                f"no instance of service {service} is available",
            )
        near = [e for e in candidates if e.data_centre == self._data_centre]
        pair = self._source.sample(near or candidates, 1)
        return pair[0]

"""Model of nodes that share the rate limit of one organisation."""

from __future__ import annotations

import random

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.limits import fleet_share

_SHARE_INTERVAL = clock.Milliseconds(400)
_MIN_PAUSE = clock.Milliseconds(60)


class ShareFleet:
    """Nodes with one divider; messages arrive without delay or are lost.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    bounds : fleet_share.LimitBounds
        Bound on the requests that all nodes admit.
    generator : random.Random
        Source of random arrivals.
    """

    def __init__(
        self,
        nodes: int,
        bounds: fleet_share.LimitBounds,
        generator: random.Random,
    ) -> None:
        self._time = clock.ManualClock()
        self._random = generator
        self._limits = []
        for _ in range(nodes):
            limits = fleet_share.OrganisationLimits(self._time, bounds)
            limits.set_fleet_size(nodes)
            self._limits.append(limits)
        self._divider = fleet_share.ShareDivider(self._time)
        self._reserve = fleet_share.Reserve(self._time, bounds)
        self._reserve.set_fleet_size(nodes)
        self._paused = [clock.ZERO] * nodes
        self.offered = 0

    def offer_load(
        self,
        organisation: deployment.Organisation,
        rate_per_second: float,
        duration: clock.Milliseconds,
        cut_fraction: float,
    ) -> list[clock.Milliseconds]:
        """Offer requests in batches.

        Parameters
        ----------
        organisation : deployment.Organisation
            Organisation that sends the requests.
        rate_per_second : float
            Mean rate of the requests.
        duration : clock.Milliseconds
            Duration of the load.
        cut_fraction : float
            Fraction of the nodes that are partitioned from all others during
            the middle third of the load.

        Returns
        -------
        list of clock.Milliseconds
            Times at which requests were admitted.
        """
        passed = []
        next_request_at = clock.ZERO
        start = self._time.now()
        while self._time.now() - start < duration:
            batch = self._random.randint(1, 3)
            mean = batch / rate_per_second * 1000.0
            self._time.advance(
                clock.Milliseconds(self._random.expovariate(1 / mean))
            )
            elapsed = (self._time.now() - start).value / duration.value
            is_cut = 1 / 3 < elapsed < 2 / 3
            cut = int(len(self._limits) * cut_fraction) if is_cut else 0
            if self._time.now() >= next_request_at:
                next_request_at = self._time.now() + _SHARE_INTERVAL
                self._request_shares(cut)
            index = int(self._random.triangular(0, len(self._limits), 0))
            for _ in range(batch):
                self.offered += 1
                if self._take(index, organisation, index < cut):
                    passed.append(self._time.now())
        return passed

    def _request_shares(self, cut: int) -> None:
        for index, limits in enumerate(self._limits):
            demands = limits.measure_demand()
            if index >= cut and demands:
                grants = self._divider.grant(f"h{index}", demands)
                limits.apply_grants(grants, self._time.now())

    def _take(
        self, index: int, organisation: deployment.Organisation, is_cut: bool
    ) -> bool:
        limits = self._limits[index]
        if limits.take(organisation):
            return True
        if is_cut or self._paused[index] > self._time.now():
            return False
        granted, wait = self._reserve.take(organisation, 1.0)
        if granted >= 1.0:
            limits.add_tokens(organisation.name, granted - 1.0)
            return True
        self._paused[index] = self._time.now() + max(wait, _MIN_PAUSE)
        return False

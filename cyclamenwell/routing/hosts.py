"""Choice of a route by host and path, and of a service on a split route."""

from __future__ import annotations

from cyclamenwell.generated import deployment

__all__ = ["HostTable", "SplitRotation"]


class HostTable:
    """Routes of one configuration by host.

    Parameters
    ----------
    configuration : deployment.Configuration
        Configuration whose routes and keys are looked up.
    """

    def __init__(self, configuration: deployment.Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[str, list[deployment.Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._organisations = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        self.services = {
            service.name: service for service in configuration.services
        }

    def find_route(self, host: str, path: str) -> deployment.Route | None:
        """Return the route of a host with the longest matching prefix."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_owner(self, key: str) -> deployment.Organisation | None:
        """Return the organisation that holds a key."""
        return self._organisations.get(key)

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return bool(self.configuration.organisations)


class SplitRotation:
    """Divides the requests of split routes in proportion to weights.

    Notes
    -----
    Smooth weighted round robin keeps the shares exact over short windows,
    where independent random choices would be off by several percent.
    """

    def __init__(self) -> None:
        self._credits: dict[
            tuple[str, tuple[deployment.WeightedService, ...]],
            dict[str, float],
        ] = {}

    def choose_service(self, route: deployment.Route) -> str:
        """Return the service that the next request of a route goes to."""
        parts = [part for part in route.services if part.weight > 0]
        if not parts:
            return ""
        if len(parts) == 1:
            return parts[0].service
        # A changed split begins anew.
        key = (route.name, route.services)
        earned = self._credits.setdefault(key, {})
        for part in parts:
            earned[part.service] = earned.get(part.service, 0.0) + part.weight
        chosen = max(parts, key=lambda part: earned[part.service]).service
        earned[chosen] -= sum(part.weight for part in parts)
        return chosen

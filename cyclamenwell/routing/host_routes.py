"""Route lookup by host and path, and weighted choice on split routes."""

from __future__ import annotations

from cyclamenwell.generated import deployment

__all__ = ["HostTable", "SplitRotation"]


class HostTable:
    """Lookup table of the routes and keys of a configuration.

    Parameters
    ----------
    configuration : deployment.Configuration
        Configuration to index.
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

    def find_route(self, host: str, path: str) -> deployment.Route | None:
        """Return the route of a host with the longest prefix of a path."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_owner(self, key: str) -> deployment.Organisation | None:
        """Return the organisation that owns a key, None for an unknown key."""
        return self._organisations.get(key)

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        configuration = self.configuration
        return configuration.needs_keys or bool(configuration.organisations)


class SplitRotation:
    """Smooth weighted round robin over the services of split routes.

    Notes
    -----
    It keeps the shares exact over short windows, where independent random
    choices would deviate by several percent.
    """

    def __init__(self) -> None:
        self._current_weights: dict[
            tuple[str, tuple[deployment.WeightedService, ...]],
            dict[str, float],
        ] = {}

    def choose_service(self, route: deployment.Route) -> str:
        """Return the service for the next request of a route, or ""."""
        parts = [part for part in route.services if part.weight > 0]
        if not parts:
            return ""
        if len(parts) == 1:
            return parts[0].service
        # The key holds the weights, so a changed split starts from zero.
        key = (route.name, route.services)
        current = self._current_weights.setdefault(key, {})
        for part in parts:
            current[part.service] = current.get(part.service, 0.0) + part.weight
        chosen = max(parts, key=lambda part: current[part.service]).service
        current[chosen] -= sum(part.weight for part in parts)
        return chosen

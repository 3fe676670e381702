"""Route lookup by host and prefix, and the shares of split routes."""

import pytest

from cyclamenwell.generated import deployment
from cyclamenwell.routing import host_routes


def build_route(name, host, prefix, *services):
    """Return a route."""
    return deployment.Route(
        name=name,
        host=host,
        prefix=prefix,
        services=tuple(deployment.WeightedService(*s) for s in services),
    )


def test_the_longest_prefix_of_the_host_matches():
    """Guards against a shorter prefix that takes precedence."""
    table = host_routes.HostTable(
        deployment.Configuration(
            routes=(
                build_route("wide", "a", "/x/"),
                build_route("narrow", "a", "/x/y/"),
                build_route("other", "b", "/x/y/z/"),
            )
        )
    )
    assert table.find_route("a", "/x/y/z/1").name == "narrow"
    assert table.find_route("a", "/x/1").name == "wide"
    assert table.find_route("a", "/x") is None
    assert table.find_route("c", "/x/y/") is None


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (7, 0, 3)])
def test_shares_of_a_split_are_exact_over_short_times(weights):
    """Guards against shares that deviate from the weights."""
    route = build_route(
        "split", "a", "/", *((f"s{i}", w) for i, w in enumerate(weights))
    )
    rotation = host_routes.SplitRotation()
    chosen = [rotation.choose_service(route) for _ in range(200)]
    for index, weight in enumerate(weights):
        share = chosen.count(f"s{index}") / 200
        assert share == pytest.approx(weight / sum(weights), abs=0.02)


def test_a_key_has_an_owner_only_while_configured():
    """Guards against a removed key that is still accepted."""
    table = host_routes.HostTable(
        deployment.Configuration(
            organisations=(deployment.Organisation("shops", ("k1",)),)
        )
    )
    assert table.find_owner("k1").name == "shops"
    assert table.find_owner("k2") is None
    assert table.find_owner("") is None

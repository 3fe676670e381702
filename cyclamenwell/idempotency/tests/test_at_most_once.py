"""Tests of claims of idempotency keys under failures and view changes."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.idempotency import answers
from cyclamenwell.idempotency import claimer as claimers
from cyclamenwell.idempotency import keys
from cyclamenwell.idempotency.tests import builders
from cyclamenwell.membership import rendezvous

Kind = enumerations.ErrorKind
FINGERPRINT = b"f" * 32
SEEDS = 8


def build_key(time, age_ms=0):
    time.advance(clock.Milliseconds(0))
    past = clock.ManualClock(
        epoch=time.wall_time() - clock.Milliseconds(age_ms)
    )
    return answers.RequestKey("shops", keys.make_key(past))


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def network():
    return builders.Network(random.Random(1))


def run(node, key, runs, fingerprint=FINGERPRINT):
    def action():
        runs.append((key, node.name))
        return builders.build_answer(node.name)

    return node.guard.run(key, fingerprint, action)


def test_repeat_through_another_node_gets_the_first_answer(time, network):
    """Guards against a second run when a caller retries at another node."""
    nodes = builders.build_nodes(7, time, network)
    key, runs = build_key(time), []
    first = run(nodes[0], key, runs)
    assert run(nodes[1], key, runs) == first
    assert run(nodes[0], key, runs) == first
    assert len(runs) == 1


def test_repeat_after_the_executor_is_lost_is_unknown(time, network):
    """Guards against a second run after the node of the first run is lost."""
    nodes = builders.build_nodes(7, time, network)
    key, runs = build_key(time), []
    run(nodes[0], key, runs)
    network.cut.add("n0")
    with pytest.raises(exceptions.RefusedError) as caught:
        run(nodes[1], key, runs)
    assert caught.value.kind is Kind.ANSWER_LOST
    assert len(runs) == 1


def test_refusal_that_has_not_run_frees_the_key(time, network):
    """Guards against a key that stays claimed though nothing has run."""
    nodes = builders.build_nodes(5, time, network)
    key, runs = build_key(time), []

    def shed():
        raise exceptions.RefusedError(Kind.TARGET_SHED, "shed")

    with pytest.raises(exceptions.RefusedError):
        nodes[0].guard.run(key, FINGERPRINT, shed)
    assert run(nodes[1], key, runs).status == 200


def test_unknown_outcome_keeps_the_key(time, network):
    """Guards against a second run after an incomplete answer."""
    nodes = builders.build_nodes(5, time, network)
    key, runs = build_key(time), []

    def break_off():
        raise exceptions.RefusedError(Kind.INCOMPLETE_ANSWER, "early end")

    with pytest.raises(exceptions.RefusedError):
        nodes[0].guard.run(key, FINGERPRINT, break_off)
    for node in nodes:
        with pytest.raises(exceptions.RefusedError) as caught:
            run(node, key, runs)
        assert caught.value.kind is Kind.ANSWER_LOST
    assert not runs


def test_key_of_another_request_is_refused(time, network):
    """Guards against answering a request with the answer to another one."""
    nodes = builders.build_nodes(5, time, network)
    key, runs = build_key(time), []
    run(nodes[0], key, runs)
    for node in nodes[:2]:
        with pytest.raises(exceptions.RefusedError) as caught:
            run(node, key, runs, b"g" * 32)
        assert caught.value.kind is Kind.KEY_MISMATCH


@pytest.mark.parametrize("age_ms", [300_001, -5_001])
def test_key_that_can_not_be_checked_is_refused(time, network, age_ms):
    """Guards against granting a key whose earlier claim may be forgotten."""
    nodes = builders.build_nodes(5, time, network)
    with pytest.raises(exceptions.RefusedError) as caught:
        run(nodes[0], build_key(time, age_ms), [])
    assert caught.value.kind is Kind.KEY_TOO_OLD


def test_minority_can_not_claim(time, network):
    """Guards against runs on both sides of a network partition."""
    nodes = builders.build_nodes(5, time, network)
    network.cut.update(("n2", "n3", "n4"))
    with pytest.raises(exceptions.RefusedError) as caught:
        run(nodes[0], build_key(time), [])
    assert caught.value.kind is Kind.CLAIM_UNAVAILABLE


def test_young_registrars_do_not_grant_older_keys(time, network):
    """Guards against a second run after the registrars were restarted."""
    nodes = builders.build_nodes(5, time, network)
    key, runs = build_key(time), []
    run(nodes[0], key, runs)
    time.advance(clock.Milliseconds(1000))
    for name in ("n1", "n2", "n3", "n4"):
        views_now = builders.Views(time.wall_time(), *nodes[0].views.live)
        builders.Node(name, network, time, views_now)
    network.cut.add("n0")
    with pytest.raises(exceptions.RefusedError) as caught:
        run(network.nodes["n1"], key, runs)
    assert caught.value.kind is Kind.KEY_TOO_OLD
    assert len(runs) == 1


def test_claim_needs_a_majority_in_each_live_view(time, network):
    """Guards against two runs while nodes act on different views."""
    nodes = builders.build_nodes(5, time, network)
    wider = builders.View(tuple(f"n{index}" for index in range(9)))
    for index in range(5, 9):
        builders.Node(f"n{index}", network, time, builders.Views(None, wider))
    nodes[0].views.live = (*nodes[0].views.live, wider)
    key = build_key(time)
    in_wider = rendezvous.choose_members(key.key, wider.members, 5)
    network.cut.update(in_wider[:3])
    with pytest.raises(exceptions.RefusedError):
        run(nodes[0], key, [])


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_repeats_run_at_most_once(seed):
    """Guards against a second run under message loss, cuts and restarts."""
    source = random.Random(seed)
    time = clock.ManualClock()
    network = builders.Network(source, loss=0.2)
    builders.build_nodes(9, time, network)
    live = network.nodes["n0"].views.live
    runs = []
    request_keys = [build_key(time) for _ in range(5)]
    for _ in range(300):
        time.advance(clock.Milliseconds(source.randrange(200)))
        event = source.random()
        name = f"n{source.randrange(9)}"
        if event < 0.05:
            network.cut.symmetric_difference_update({name})
        elif event < 0.08:
            builders.Node(
                name, network, time, builders.Views(time.wall_time(), *live)
            )
        else:
            request_keys.append(build_key(time))
            attempt(
                network.nodes[name],
                source.choice(request_keys[-8:]),
                runs,
                source,
            )
    counts = {key: 0 for key, _ in runs}
    for key, _ in runs:
        counts[key] += 1
    assert counts, "no request ran, so nothing was checked"
    assert max(counts.values()) == 1


def attempt(node, key, runs, source):
    def action():
        if source.random() < 0.2:
            raise exceptions.RefusedError(Kind.TARGET_SHED, "shed")
        runs.append((key, node.name))
        if source.random() < 0.3:
            raise exceptions.RefusedError(Kind.TIMED_OUT, "late")
        return builders.build_answer()

    try:
        node.guard.run(key, FINGERPRINT, action)
    except exceptions.RefusedError as refusal:
        assert refusal.kind in {
            Kind.ANSWER_LOST,
            Kind.CLAIM_UNAVAILABLE,
            Kind.KEY_IN_USE,
            Kind.KEY_TOO_OLD,
            Kind.TARGET_SHED,
            Kind.TIMED_OUT,
        }


def test_the_random_check_can_fail(monkeypatch):
    """Guards against a random test that does not detect a second run."""
    monkeypatch.setattr(
        claimers._Votes,
        "has_majority",
        lambda self, registrar_sets: bool(self.granted),
    )
    with pytest.raises(AssertionError, match="== 1"):
        for seed in range(SEEDS):
            test_random_repeats_run_at_most_once(seed)


def test_notations_of_one_key_are_the_same_key(time):
    """Guards against a second run when the key is written differently."""
    key = keys.make_key(time)
    for other in (key.upper(), f"{{{key}}}", f"urn:uuid:{key}"):
        assert keys.normalise_key(other) == key
    with pytest.raises(exceptions.RefusedError):
        keys.normalise_key("f81d4fae-7dec-11d0-a765-00a0c91e6bf6")

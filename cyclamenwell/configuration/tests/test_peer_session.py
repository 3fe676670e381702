"""Tests of exchanges, deliveries, lists and freshness between nodes."""

import dataclasses
import random

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import peer_session
from cyclamenwell.configuration import snapshot
from cyclamenwell.configuration.tests import builders
from cyclamenwell.documents import parser
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.peers import wire
from cyclamenwell.testing import builders as shared

BAD = "data_centres_out: 7\n"
SHOPS = "organisation/shops"


class Cluster:
    """Three nodes with the same instance list."""

    def __init__(self, **peers):
        self.time = clock.ManualClock()
        self.network = builders.Network(random.Random(1))
        self.platform = builders.FakePlatform()
        self.entries = builders.build_entries(3)
        self.nodes = [
            builders.InMemoryNode(
                entry,
                self.network,
                self.time,
                self.platform,
                dataclasses.replace(settings.PeerSettings(), **peers),
            )
            for entry in self.entries
        ]
        for node in self.nodes:
            node.directory.replace_list(1, self.entries)

    def advance(self, milliseconds):
        self.time.advance(clock.Milliseconds(milliseconds))


@pytest.fixture
def cluster():
    return Cluster()


def publish(node, version, name="fleet", text="{}\n"):
    node.store.apply([builders.build_text(version, name, text)], "platform")


def test_exchange_repairs_both_ways_and_is_dated_from_its_start(cluster):
    """Guards against a confirmation dated later than the state it confirms."""
    first, second, _ = cluster.nodes
    publish(first, 3)
    publish(second, 2, SHOPS, "organisation: shops\n")
    handle = second.handle

    def answer_late(message):
        cluster.advance(100)
        return handle(message)

    second.handle = answer_late
    assert first.open_session(second).exchange()
    for node in (first, second):
        assert node.store.snapshot.find_version("fleet") == 3
        assert node.store.snapshot.find_version(SHOPS) == 2
    assert first.store.snapshot.digest == second.store.snapshot.digest
    calls = sum(cluster.network.calls.values())
    assert first.freshness.find_view_age().value == 100 * calls


def test_exchange_does_not_confirm_what_was_not_fetched(cluster):
    """Guards against a confirmed view that lacks a known version."""
    first, second, _ = cluster.nodes
    publish(second, 2)
    handle = second.handle

    def lose_fetch(message):
        if isinstance(message, messages.FetchRequest):
            raise exceptions.PeerUnavailableError("", sent=True, refused=False)
        return handle(message)

    second.handle = lose_fetch
    with pytest.raises(exceptions.PeerUnavailableError):
        first.open_session(second).exchange()
    assert not first.freshness.is_confirmed()
    second.handle = handle
    assert first.open_session(second).exchange()
    assert first.freshness.is_confirmed()


def test_starting_peer_confirms_nothing(cluster):
    """Guards against a new node without documents that confirms old views."""
    first, second, _ = cluster.nodes
    second.state = enumerations.InstanceState.STARTING
    assert not first.open_session(second).exchange()
    assert not first.freshness.is_confirmed()


def test_unconfirmed_view_refuses_after_its_age_unless_the_policy_is_serve():
    """Guards against keyed calls in isolation, and a setting without effect."""
    for policy in enumerations.IsolationPolicy:
        cluster = Cluster(isolation=policy)
        first, second, _ = cluster.nodes
        assert first.open_session(second).exchange()
        cluster.advance(4000)
        first.freshness.check_freshness()
        cluster.advance(1)
        if policy is enumerations.IsolationPolicy.SERVE:
            first.freshness.check_freshness()
            continue
        with pytest.raises(exceptions.RefusedError, match="STALE_VIEW"):
            first.freshness.check_freshness()


def test_platform_age_is_sent_as_an_age_and_can_refuse():
    """Guards against ages taken from wall clocks, and an ignored bound."""
    cluster = Cluster(max_platform_age=clock.Milliseconds(10_000))
    first, second, third = cluster.nodes
    second.freshness.note_platform(cluster.time.now())
    cluster.advance(6000)
    first.open_session(second).exchange()
    third.open_session(first).exchange()
    assert third.freshness.find_platform_age() == clock.Milliseconds(6000)
    third.freshness.check_freshness()
    cluster.advance(4001)
    third.open_session(first).exchange()
    with pytest.raises(exceptions.RefusedError, match="platform"):
        third.freshness.check_freshness()


def test_sole_instance_serves_without_confirmation(cluster):
    """Guards against a sole instance that stops serving with the platform."""
    first = cluster.nodes[0]
    first.directory.replace_list(2, cluster.entries[:1])
    cluster.advance(60_000)
    first.freshness.check_freshness()


def test_new_node_with_a_bad_version_gets_the_last_good_one(cluster):
    """Guards against a bad version that hides a good one or is refetched."""
    first, second, third = cluster.nodes
    publish(first, 4)
    for node in cluster.nodes:
        for _ in range(2):
            publish(node, 5, text=BAD)
        refused = [e for e in node.trail.list_entries() if not e.accepted]
        assert [entry.version for entry in refused] == [5]
    assert second.open_session(first).exchange()
    assert second.store.snapshot.find_version("fleet") == 4
    # A node of a later release may accept what others refuse.
    third.store._refused.clear()
    content = parser.parse_document("fleet", 5, "{}\n")
    third.store.snapshot = snapshot.build_snapshot({"fleet": content})
    session = first.open_session(third)
    assert session.exchange()
    cluster.network.calls.clear()
    for _ in range(3):
        assert session.exchange()
    assert cluster.network.calls == {"ExchangeRequest": 3}


@pytest.mark.parametrize(
    "text", ["[" * 1000, "- " * 5000 + "x", "{a: " * 5000, "\ud800: 1", "a: ["]
)
def test_invalid_text_is_refused_without_effect(cluster, text):
    """Guards against a document that crashes the process that parses it."""
    first = cluster.nodes[0]
    publish(first, 1)
    publish(first, 2, text=text)
    assert first.store.snapshot.find_version("fleet") == 1
    assert first.store.refused_count == 1


def test_removal_is_a_version_that_is_replicated_and_stays(cluster):
    """Guards against a removed document that a stale peer restores."""
    first, second, _ = cluster.nodes
    for node in (first, second):
        publish(node, 1, SHOPS, shared.build_organisation_text("shops", "k"))
    publish(first, 2, SHOPS, "")
    assert second.open_session(first).exchange()
    assert first.open_session(second).exchange()
    for node in (first, second):
        assert node.store.snapshot.find_version(SHOPS) == 2
        assert not node.store.snapshot.key_owners
        details = node.trail.list_entries()[-1].details
        assert any("withdrawn" in detail for detail in details)


def test_audit_trail_names_data_centre_taken_out_by_a_first_version(cluster):
    """Guards against a first fleet document whose effect is not audited."""
    publish(cluster.nodes[0], 1, text=shared.build_fleet_text("dc-1"))
    details = cluster.nodes[0].trail.list_entries()[-1].details
    assert "data centre dc-1 taken out" in details


def test_version_is_sent_by_only_one_of_several_announcers(cluster):
    """Guards against one version that several neighbours send at once."""
    first, second, third = cluster.nodes
    for node in (first, second):
        publish(node, 2)
    entry = messages.VersionEntry("fleet", 2)
    announce = messages.AnnounceRequest(
        first.context.identity.build_sender(third.name), (entry,), 1
    )
    assert third.handle(announce).wanted == ("fleet",)
    assert not second.open_session(third).announce([entry])
    cluster.advance(1001)
    assert second.open_session(third).announce([entry])
    assert third.store.snapshot.find_version("fleet") == 2


def test_large_fetch_comes_in_several_replies(cluster, monkeypatch):
    """Guards against frames over the size limit and lost remainders."""
    first, second, _ = cluster.nodes
    big = "x" * parser.MAX_DOCUMENT_BYTES
    content = parser.RemovedDocument()
    second.store.snapshot = snapshot.build_snapshot(
        {
            f"service/s{n}": parser.ParsedDocument(
                f"service/s{n}", 1, big, content
            )
            for n in range(25)
        }
    )
    reply = second.handle(
        messages.FetchRequest(second.context.identity.build_sender(""))
    )
    assert len(wire.encode(reply)) < wire.MAX_FRAME_BYTES
    assert len(reply.documents) + len(reply.remaining) == 25
    monkeypatch.setattr(peer_session, "_MAX_BATCH_BYTES", 40)
    second.store.snapshot = snapshot.EMPTY
    for n in range(9):
        name = f"organisation/o{n}"
        publish(second, 1, name, f"organisation: o{n}\n")
    assert first.open_session(second).fetch(())
    assert len(first.store.snapshot.parsed) == 9
    assert cluster.network.calls["FetchRequest"] > 3


def test_list_is_sent_as_changes_and_whole_when_they_do_not_apply(cluster):
    """Guards against a whole list for each change, and stale entries.

    A stale entry arises from an instance that was added and removed between two
    revisions that the sender has seen, so that no delta of it names the
    instance.
    """
    first, second, third = cluster.nodes
    entries = builders.build_entries(200)
    for node in cluster.nodes:
        node.directory.replace_list(2, entries)
    transient = shared.build_instance(instance="transient")
    second.directory.replace_list(3, (*entries, transient))
    first.directory.replace_list(4, entries[:-1])
    cluster.network.bytes = 0
    assert third.open_session(first).exchange()
    assert cluster.network.bytes < 2000
    assert third.directory.current_list.entries.keys() == {
        e.instance for e in entries[:-1]
    }
    assert second.open_session(first).exchange()
    assert cluster.network.calls["ListRequest"] == 3
    assert (
        second.directory.current_list.entries
        == first.directory.current_list.entries
    )
    first.directory.replace_list(5, entries[:-2])
    first.open_session(second).exchange()
    assert (
        second.directory.current_list.entries
        == first.directory.current_list.entries
    )


def test_version_that_would_decrease_raises_an_assertion_error(cluster):
    """Guards against a store that does not enforce increasing versions."""
    store = cluster.nodes[0].store
    publish(cluster.nodes[0], 2)
    with pytest.raises(AssertionError, match="from version 2 to 1"):
        store._replace(
            snapshot.build_snapshot(
                {"fleet": parser.parse_document("fleet", 1, "{}\n")}
            )
        )


def test_owner_of_a_shared_key_does_not_depend_on_the_order_of_arrival(cluster):
    """Guards against nodes that assign one key to different organisations."""
    texts = [
        builders.build_text(
            1, f"organisation/{name}", shared.build_organisation_text(name, "k")
        )
        for name in ("a", "b")
    ]
    first, second, _ = cluster.nodes
    first.store.apply(texts, "platform")
    second.store.apply(reversed(texts), "platform")
    assert first.store.snapshot.key_owners == second.store.snapshot.key_owners
    publish(first, 2, "organisation/a", "")
    owner = next(iter(first.store.snapshot.key_owners.values()))
    assert owner.organisation == "b"


def test_change_of_one_document_keeps_the_other_tables(cluster):
    """Guards against tables that miss a change of another kind of document."""
    first = cluster.nodes[0]
    publish(first, 1, "service/billing", shared.build_service_text())
    publish(first, 1, SHOPS, shared.build_organisation_text("shops", "k"))
    publish(first, 1, text=shared.build_fleet_text("dc-1"))
    current = first.store.snapshot
    whole = snapshot.build_snapshot(dict(current.parsed))
    assert current == whole
    assert current.services
    assert current.key_owners
    assert current.data_centres_out == {"dc-1"}
    publish(first, 2, "service/billing", "")
    publish(first, 2, text="")
    assert not first.store.snapshot.services
    assert not first.store.snapshot.data_centres_out

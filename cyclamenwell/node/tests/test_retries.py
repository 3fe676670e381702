"""Bounds on retries, between dispatchers and fakes of nodes and targets."""

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node.tests import builders
from cyclamenwell.retries import allowance as allowances

Kind = enumerations.ErrorKind
RETRIES = 3
DEPTH = 9


@pytest.fixture
def time():
    return clock.ManualClock(clock.Milliseconds(1_000_000))


def fail_unmarked(further):
    """Fail as a target that tells nothing of the failure below it."""
    del further
    return exceptions.RefusedError(Kind.INCOMPLETE_ANSWER, "")


def fail_marked(further):
    """Fail after a further call, of which the node keeps a mark."""
    refusal = exceptions.RefusedError(Kind.INCOMPLETE_ANSWER, "")
    refusal.retried = further is not None
    return refusal


@pytest.mark.parametrize("fan_out", [1, 2])
@pytest.mark.parametrize("respond", [fail_unmarked, fail_marked])
def test_no_call_of_a_deep_chain_runs_more_often_than_allowed(
    time, fan_out, respond
):
    """Guards against retries that multiply from hop to hop.

    The lowest service always fails. Without the mark, all hops would retry:
    the allowance alone must hold the bound.
    """
    world = builders.ChainWorld(time, DEPTH, fan_out, respond)
    with pytest.raises(exceptions.RefusedError):
        world.run_root(RETRIES)
    assert max(len(path) for path in world.attempts) == DEPTH
    assert max(world.attempts.values()) <= 1 + RETRIES
    calls_in_tree = len(world.attempts)
    levels = {
        depth: [n for path, n in world.attempts.items() if len(path) == depth]
        for depth in range(1, DEPTH + 1)
    }
    if fan_out == 1:
        assert all(sum(level) <= 1 + RETRIES for level in levels.values())
        assert sum(world.attempts.values()) > calls_in_tree
    if respond is fail_marked:
        # Only the lowest hop has retried; all above ran once.
        assert all(n == 1 for d in range(1, DEPTH) for n in levels[d])


class ScriptedClient:
    """Replies to forwarded calls in the order of a script."""

    def __init__(self, *script):
        self._script = list(script)
        self.messages = []

    def call(self, address, message, timeout, interrupt, belongs):
        del address, timeout, interrupt
        self.messages.append(message)
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        if isinstance(step, messages.Fault):
            return step
        reply = messages.ForwardReply(call_id=message.call_id, **step)
        assert belongs(reply)
        return reply


def run(time, client, retries=RETRIES, **values):
    dispatcher = builders.build_dispatcher(time, None, client)
    allowance = allowances.RetryAllowance(retries)
    call = builders.build_call(time, **values)
    try:
        answer = dispatcher.run(call, allowance, cancellations.Cancellation())
    except exceptions.RefusedError as refusal:
        return refusal, allowance.held
    return answer, allowance.held


def lose_reply():
    return exceptions.PeerUnavailableError("lost", sent=True, refused=False)


def refuse_connection():
    return exceptions.PeerUnavailableError("down", sent=False, refused=True)


def test_refused_connection_costs_one_retry_only(time):
    """Guards against lent retries being lost with a request never sent."""
    client = ScriptedClient(
        refuse_connection(), {"status": 200, "retries_left": 1}
    )
    answer, held = run(time, client, idempotent=False)
    assert answer.status == 200
    assert [m.retries for m in client.messages] == [2, 1]
    assert held == RETRIES - 1


def test_lost_reply_returns_nothing(time):
    """Guards against counting retries twice that the receiver may spend."""
    client = ScriptedClient(lose_reply(), lose_reply())
    refusal, held = run(time, client, retries=2)
    assert refusal.kind is Kind.INCOMPLETE_ANSWER
    assert len(client.messages) == 2
    assert refusal.retried
    assert held == 0


def test_unknown_outcome_of_a_non_idempotent_request_is_final(time):
    """Guards against running a non-idempotent request twice."""
    client = ScriptedClient(lose_reply())
    refusal, _ = run(time, client, idempotent=False)
    assert refusal.kind is Kind.INCOMPLETE_ANSWER
    assert len(client.messages) == 1


def test_failure_retried_below_is_passed_on(time):
    """Guards against a second hop retrying the same failure."""
    client = ScriptedClient(
        {"refusal": Kind.INCOMPLETE_ANSWER, "retried": True}
    )
    refusal, _ = run(time, client)
    assert refusal.retried
    assert len(client.messages) == 1


def test_rate_limited_is_tried_at_one_other_instance(time):
    """Guards against a burst over the rate visiting all instances."""
    step = {"refusal": Kind.RATE_LIMITED, "retries_left": 2}
    client = ScriptedClient(step, dict(step), dict(step))
    refusal, _ = run(time, client)
    assert refusal.kind is Kind.RATE_LIMITED
    assert len(client.messages) == 2


def test_replaced_process_is_asked_again_at_once(time):
    """Guards against a refused call for each restart of an instance."""
    fault = messages.Fault(kind=Kind.WRONG_INSTANCE, detail="", incarnation=9)
    client = ScriptedClient(fault, {"status": 200, "retries_left": 2})
    answer, held = run(time, client, idempotent=False)
    assert answer.status == 200
    assert client.messages[1].sender.receiver_incarnation == 0
    assert held == RETRIES


def test_node_budget_bounds_retries_of_many_requests(time):
    """Guards against a retry for each request while everything fails."""
    sent = 300
    client = ScriptedClient(*(lose_reply() for _ in range(sent * 2)))
    dispatcher = builders.build_dispatcher(time, None, client)
    for _ in range(sent):
        time.advance(clock.Milliseconds(5000))
        with pytest.raises(exceptions.RefusedError):
            dispatcher.run(
                builders.build_call(time),
                allowances.RetryAllowance(RETRIES),
                cancellations.Cancellation(),
            )
    assert len(client.messages) <= sent * 1.1 + 10


def test_no_retry_after_the_deadline(time):
    """Guards against work for a caller that has given up."""

    class SlowClient(ScriptedClient):
        def call(self, *arguments):
            time.advance(clock.Milliseconds(6000))
            return super().call(*arguments)

    client = SlowClient(refuse_connection(), refuse_connection())
    refusal, _ = run(time, client)
    assert refusal.kind is Kind.PEER_UNREACHABLE
    assert len(client.messages) == 1

"""Limits on retries of dispatchers, with fake nodes and targets."""

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


def fail_without_flag(nested_failure):
    """Fail without the flag that the failure was retried."""
    del nested_failure
    return exceptions.RefusedError(Kind.INCOMPLETE_ANSWER, "")


def fail_with_flag(nested_failure):
    """Fail with the retried flag set if a nested call has failed."""
    refusal = exceptions.RefusedError(Kind.INCOMPLETE_ANSWER, "")
    refusal.retried = nested_failure is not None
    return refusal


@pytest.mark.parametrize("fan_out", [1, 2])
@pytest.mark.parametrize("build_failure", [fail_without_flag, fail_with_flag])
def test_no_call_of_a_deep_chain_runs_more_often_than_allowed(
    time, fan_out, build_failure
):
    """Guards against retry amplification along a call chain.

    The lowest service always fails. Without the flag, every hop retries, and
    only the retry allowance limits the attempts.
    """
    chain = builders.CallChain(time, DEPTH, fan_out, build_failure)
    with pytest.raises(exceptions.RefusedError):
        chain.run_root(RETRIES)
    assert max(len(path) for path in chain.attempts) == DEPTH
    assert max(chain.attempts.values()) <= 1 + RETRIES
    call_count = len(chain.attempts)
    levels = {
        depth: [n for path, n in chain.attempts.items() if len(path) == depth]
        for depth in range(1, DEPTH + 1)
    }
    if fan_out == 1:
        assert all(sum(level) <= 1 + RETRIES for level in levels.values())
        assert sum(chain.attempts.values()) > call_count
    if build_failure is fail_with_flag:
        # Only the lowest hop has retried; all hops above ran once.
        assert all(n == 1 for d in range(1, DEPTH) for n in levels[d])


class ScriptedClient:
    """Peer client that returns scripted replies in order."""

    def __init__(self, *script):
        self._script = list(script)
        self.messages = []

    def call(self, address, message, timeout, cancellation, is_reply):
        del address, timeout, cancellation
        self.messages.append(message)
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        if isinstance(step, messages.Fault):
            return step
        reply = messages.ForwardReply(call_id=message.call_id, **step)
        assert is_reply(reply)
        return reply


def run_call(time, client, retries=RETRIES, **values):
    dispatcher = builders.build_dispatcher(time, None, client)
    allowance = allowances.RetryAllowance(retries)
    call = builders.build_call(time, **values)
    try:
        answer = dispatcher.run(call, allowance, cancellations.Cancellation())
    except exceptions.RefusedError as refusal:
        return refusal, allowance.held
    return answer, allowance.held


def build_lost_reply_error():
    return exceptions.PeerUnavailableError("lost", sent=True, refused=False)


def build_refused_connection_error():
    return exceptions.PeerUnavailableError("down", sent=False, refused=True)


def test_refused_connection_costs_one_retry_only(time):
    """Guards against losing the lent retries of a request never sent."""
    client = ScriptedClient(
        build_refused_connection_error(), {"status": 200, "retries_left": 1}
    )
    answer, held = run_call(time, client, idempotent=False)
    assert answer.status == 200
    assert [m.retries for m in client.messages] == [2, 1]
    assert held == RETRIES - 1


def test_lost_reply_returns_nothing(time):
    """Guards against reusing lent retries that the receiver may spend."""
    client = ScriptedClient(build_lost_reply_error(), build_lost_reply_error())
    refusal, held = run_call(time, client, retries=2)
    assert refusal.kind is Kind.INCOMPLETE_ANSWER
    assert len(client.messages) == 2
    assert refusal.retried
    assert held == 0


def test_unknown_outcome_of_a_non_idempotent_request_is_final(time):
    """Guards against running a non-idempotent request twice."""
    client = ScriptedClient(build_lost_reply_error())
    refusal, _ = run_call(time, client, idempotent=False)
    assert refusal.kind is Kind.INCOMPLETE_ANSWER
    assert len(client.messages) == 1


def test_failure_retried_by_a_lower_hop_is_passed_on(time):
    """Guards against two hops retrying the same failure."""
    client = ScriptedClient(
        {"refusal": Kind.INCOMPLETE_ANSWER, "retried": True}
    )
    refusal, _ = run_call(time, client)
    assert refusal.retried
    assert len(client.messages) == 1


def test_rate_limited_is_tried_at_one_other_instance(time):
    """Guards against a burst above the rate visiting all instances."""
    step = {"refusal": Kind.RATE_LIMITED, "retries_left": 2}
    client = ScriptedClient(step, dict(step), dict(step))
    refusal, _ = run_call(time, client)
    assert refusal.kind is Kind.RATE_LIMITED
    assert len(client.messages) == 2


def test_replaced_process_is_called_again_at_once(time):
    """Guards against refusing a call after each restart of an instance."""
    fault = messages.Fault(kind=Kind.WRONG_INSTANCE, detail="", incarnation=9)
    client = ScriptedClient(fault, {"status": 200, "retries_left": 2})
    answer, held = run_call(time, client, idempotent=False)
    assert answer.status == 200
    assert client.messages[1].sender.receiver_incarnation == 0
    assert held == RETRIES


def test_node_budget_bounds_retries_of_many_requests(time):
    """Guards against a retry of each request while all calls fail."""
    sent = 300
    client = ScriptedClient(
        *(build_lost_reply_error() for _ in range(sent * 2))
    )
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
    """Guards against work for a caller that no longer waits."""

    class SlowClient(ScriptedClient):
        def call(self, *arguments):
            time.advance(clock.Milliseconds(6000))
            return super().call(*arguments)

    client = SlowClient(
        build_refused_connection_error(), build_refused_connection_error()
    )
    refusal, _ = run_call(time, client)
    assert refusal.kind is Kind.PEER_UNREACHABLE
    assert len(client.messages) == 1

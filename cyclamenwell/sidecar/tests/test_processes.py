"""Tests of node processes with stand-ins for store, targets and callers."""

import asyncio
import functools
import json
import re
import signal

import pytest

from cyclamenwell import clock
from cyclamenwell.platform.tests import builders as platform_builders
from cyclamenwell.sidecar.tests import builders


@pytest.fixture
def run_fleet(tmp_path):
    """Return a function that runs a scenario with a fleet."""
    return functools.partial(builders.run_fleet, tmp_path)


def test_requests_reach_targets_of_other_machines(run_fleet):
    """Guards against routing that works on the local machine only."""

    async def scenario(fleet):
        desk, meter, other = fleet.machines
        for number in range(20):
            answer = await fleet.send_request(desk, request_id=f"r-{number}")
            assert answer.status == 200
            assert answer.body == f"whole answer of r-{number}".encode()
        assert meter.target.runs
        assert other.target.runs
        run = meter.target.runs[0].request
        assert run.find_header("caller-service") == "desk"
        assert run.find_header("tenant") == "shops"
        assert not run.find_header("x-api-key")

    run_fleet(("desk", "meter", "meter"), scenario)


def test_large_bodies_of_non_idempotent_requests_arrive_whole(run_fleet):
    """Guards against truncated bodies between nodes."""

    async def scenario(fleet):
        desk, meter = fleet.machines
        body = b"0123456789abcdef" * 20_000
        answer = await fleet.send_request(
            desk, "POST", "/read/open/1", body=body
        )
        assert answer.status == 200
        assert meter.target.runs[0].request.body == body

    run_fleet(("desk", "meter"), scenario)


def test_refusals_have_the_right_status(run_fleet):
    """Guards against wrong statuses of refusals."""

    async def scenario(fleet):
        desk = fleet.machines[0]
        assert (await fleet.send_request(desk, path="/none/1")).status == 404
        assert (await fleet.send_request(desk, path="/read")).status == 404
        no_instance = await fleet.send_request(desk)
        assert no_instance.status == 503
        fields = {h.name: h.value for h in no_instance.headers}
        assert float(fields["retry-after"]) > 0

    run_fleet(("desk",), scenario)


def test_a_withdrawn_key_is_refused(run_fleet):
    """Guards against accepting a key after its withdrawal."""

    async def scenario(fleet):
        desk, _ = fleet.machines
        assert (await fleet.send_request(desk)).status == 200
        value = builders.platform_builders.build_table(
            {"name": "shops", "api_keys": ["k2"]}
        )
        fleet.publish("0000000d", tenants=value)
        await builders.wait_for(lambda: has_status(fleet, desk, 401), "refused")

    run_fleet(("desk", "meter"), scenario)


async def has_status(fleet, machine, status):
    """Return whether a request gets a status."""
    return (await fleet.send_request(machine)).status == status


def test_a_leaving_target_gets_no_more_requests(run_fleet):
    """Guards against requests to a target that announced its leaving."""

    async def scenario(fleet):
        desk, meter, other = fleet.machines
        fleet.publish_target(meter, state="draining")
        await asyncio.sleep(1.5)
        before = len(meter.target.runs)
        for number in range(10):
            answer = await fleet.send_request(desk, request_id=f"r-{number}")
            assert answer.status == 200
        assert len(meter.target.runs) == before
        assert len(other.target.runs) >= 10

    run_fleet(("desk", "meter", "meter"), scenario)


def test_no_request_fails_when_a_node_is_killed(run_fleet):
    """Guards against failed requests when another node is gone."""

    async def scenario(fleet):
        desk, meter, other = fleet.machines
        meter.stop()
        for number in range(20):
            answer = await fleet.send_request(
                desk, "POST", "/read/open/1", f"r-{number}", b"x"
            )
            assert answer.status == 200
        assert len(other.target.runs) == 20

    run_fleet(("desk", "meter", "meter"), scenario)


def test_a_refused_offer_keeps_its_link(run_fleet):
    """Guards against a new connection after each refusal under overload."""

    async def scenario(fleet):
        desk, meter = fleet.machines
        meter.target.inject_faults(builders.fake_target.Fault("shed", 20))
        for number in range(20):
            await fleet.send_request(desk, request_id=f"r-{number}")
        metrics = await fleet.read_metrics(meter)
        found = re.search(
            r"^cyclamenwell_sidecar_peer_connections (\S+)", metrics, re.M
        )
        # One link for offers and a few for gossip and rate limit shares.
        assert 1 <= float(found[1]) <= 6

    run_fleet(("desk", "meter"), scenario)


def test_a_paused_node_delays_requests_only_shortly(run_fleet):
    """Guards against callers that wait for an unresponsive node."""

    async def scenario(fleet):
        desk, meter, other = fleet.machines
        meter.process.send_signal(signal.SIGSTOP)
        time = clock.SystemClock()
        for number in range(6):
            started_at = time.now()
            answer = await fleet.send_request(
                desk, "POST", "/read/open/1", f"r-{number}", b"x"
            )
            assert answer.status == 200
            assert time.now() - started_at < clock.Milliseconds(700)
        assert len(other.target.runs) == 6
        meter.process.send_signal(signal.SIGCONT)

    run_fleet(("desk", "meter", "meter"), scenario)


def test_a_restarted_node_learns_from_others_while_the_store_is_away(
    run_fleet,
):
    """Guards against a node that cannot start without the store."""

    async def scenario(fleet):
        desk, meter = fleet.machines
        fleet.store.mode = "refusing"
        desk.stop()
        desk.start(fleet.log_path)
        await fleet.wait_ready(desk)
        assert (await fleet.send_request(desk)).status == 200
        assert meter.target.runs

    run_fleet(("desk", "meter"), scenario)


def test_items_are_listed_again_after_lost_history(run_fleet):
    """Guards against a node that misses changes in the lost history."""

    async def scenario(fleet):
        desk, meter, other = fleet.machines
        fleet.store.remove("servers/i-2")
        fleet.store.forget_history()
        await asyncio.sleep(2.5)
        for number in range(6):
            await fleet.send_request(desk, request_id=f"r-{number}")
        assert not meter.target.runs
        assert len(other.target.runs) == 6

    run_fleet(("desk", "meter", "meter"), scenario)


def test_a_graceful_stop_finishes_all_requests(run_fleet):
    """Guards against requests that are cut off when the process ends."""

    async def scenario(fleet):
        desk, meter = fleet.machines
        meter.target.service_time = clock.Milliseconds(500)
        running = [
            asyncio.create_task(
                fleet.send_request(desk, request_id=f"r-{number}")
            )
            for number in range(5)
        ]
        await asyncio.sleep(0.3)
        desk.process.send_signal(signal.SIGTERM)
        late = asyncio.create_task(fleet.send_request(desk, request_id="late"))
        answers = await asyncio.gather(*running, late)
        assert [answer.status for answer in answers] == [200] * 6
        assert not await fleet.is_ready(desk)
        code = await asyncio.to_thread(desk.process.wait, 8)
        assert code == 0

    run_fleet(("desk", "meter"), scenario)


def test_a_stop_waits_for_the_request_of_a_new_connection(run_fleet):
    """Guards against a request that is lost between connect and send.

    A stopping node treated a connection that had just been made as idle and
    closed it (soak run of sidecar nodes, seed 102, 7 nodes, 20 s).
    """

    async def scenario(fleet):
        desk, _ = fleet.machines
        answers = await fleet.send_after_connecting(
            desk,
            lambda: desk.process.send_signal(signal.SIGTERM),
            # Connect around the time at which idle connections are closed.
            connect_after=[3.0 + 0.02 * number for number in range(10)],
            send_after=0.25,
        )
        assert answers.count(200) == len(answers)
        # Later connections are refused, so the caller knows that its request
        # has not run.
        assert await asyncio.to_thread(desk.process.wait, 8) == 0

    run_fleet(("desk", "meter"), scenario)


def test_requests_that_come_late_in_a_stop_are_not_cut(run_fleet):
    """Guards against requests without an answer at the end of a planned stop.

    The target beside the node is busy all the while, so the node goes on
    serving its nested calls and other callers.
    """

    async def scenario(fleet):
        stopping, other = fleet.machines

        async def is_busy():
            return stopping.target.running > 0

        row = platform_builders.build_route_row(timeout_ms=9000)
        fleet.publish("00000010", routes=platform_builders.build_table(row))
        await asyncio.sleep(1.0)
        for machine in fleet.machines:
            machine.target.service_time = clock.Milliseconds(300)
        for number in range(8):
            await fleet.send_request(stopping, request_id=f"r-{number}")
        stopping.target.service_time = clock.Milliseconds(7000)
        other.target.service_time = clock.Milliseconds(900)
        # Some of them run at the target beside the node.
        busy = asyncio.gather(
            *(
                fleet.send_request(
                    stopping, request_id=f"b-{number}", deadline_ms=9000
                )
                for number in range(12)
            ),
            return_exceptions=True,
        )
        await builders.wait_for(is_busy, "busy")
        stopping.process.send_signal(signal.SIGTERM)

        async def send_late(delay):
            await asyncio.sleep(delay)
            answer = await fleet.send_request(
                stopping, request_id=f"l-{delay}", deadline_ms=9000
            )
            return answer.status

        delays = [2.0, 3.1, 3.9, 4.4, 4.7, 5.0]
        statuses = await asyncio.gather(
            *map(send_late, delays), return_exceptions=True
        )
        assert statuses[0] == 200
        assert set(statuses[1:]) <= {200, 503}
        await busy
        assert await asyncio.to_thread(stopping.process.wait, 8) == 0

    run_fleet(("meter", "meter"), scenario)


def test_a_route_with_a_long_tail_is_not_cut_late_in_a_stop(run_fleet):
    """Guards against requests accepted late by the average of their route."""

    async def scenario(fleet):
        stopping, other = fleet.machines
        row = platform_builders.build_route_row(timeout_ms=6000)
        fleet.publish("00000010", routes=platform_builders.build_table(row))
        await asyncio.sleep(1.0)
        for number in range(20):
            await fleet.send_request(stopping, request_id=f"r-{number}")
        other.target.service_time = clock.Milliseconds(2500)
        stopping.process.send_signal(signal.SIGTERM)

        async def send_late(delay):
            await asyncio.sleep(delay)
            answer = await fleet.send_request(
                stopping, request_id=f"l-{delay}", deadline_ms=6000
            )
            fields = {h.name: h.value for h in answer.headers}
            return answer.status, float(fields["retry-after"])

        answers = await asyncio.gather(*map(send_late, [3.02, 3.06, 3.1]))
        assert [status for status, _ in answers] == [503] * 3
        # Callers honour a retry time of up to a third of their time, and the
        # node does not serve before it has started again.
        assert min(delay for _, delay in answers) > 1.5
        runs = [r.request.find_header("request-id") for r in other.target.runs]
        assert not [run for run in runs if run.startswith("l-")]
        assert await asyncio.to_thread(stopping.process.wait, 8) == 0

    run_fleet(("desk", "meter"), scenario)


def test_a_caller_that_leaves_stops_the_work_at_the_target(run_fleet):
    """Guards against wasted work at a target two nodes from the caller."""

    async def scenario(fleet):
        desk, meter = fleet.machines
        meter.target.service_time = clock.Milliseconds(5000)
        task = asyncio.create_task(fleet.send_request(desk))
        await builders.wait_for(lambda: is_running(meter, 1), "running")
        task.cancel()
        await builders.wait_for(lambda: is_running(meter, 0), "stopped")

    run_fleet(("desk", "meter"), scenario)


async def is_running(machine, count):
    """Return whether a target is running a number of requests."""
    return machine.target.running == count


def test_the_answer_comes_at_the_timeout_of_the_route(run_fleet):
    """Guards against callers that wait beyond the route's time-out."""

    async def scenario(fleet):
        desk, meter = fleet.machines
        meter.target.service_time = clock.Milliseconds(5000)
        time = clock.SystemClock()
        started_at = time.now()
        answer = await fleet.send_request(desk, "POST", "/read/open/1")
        assert answer.status == 504
        elapsed = time.now() - started_at
        assert clock.Milliseconds(600) < elapsed < clock.Milliseconds(1050)
        await builders.wait_for(lambda: is_running(meter, 0), "stopped")

    run_fleet(("desk", "meter"), scenario)


def test_log_lines_explain_a_failed_request(run_fleet):
    """Guards against failures that the logs do not explain."""

    async def scenario(fleet):
        desk, meter = fleet.machines
        meter.target.inject_faults(builders.fake_target.Fault("reset"))
        answer = await fleet.send_request(
            desk, "POST", "/read/open/1", "r-lost"
        )
        assert answer.status == 502
        await builders.wait_for(
            lambda: has_logged_request(fleet, "r-lost", 3), "logged"
        )
        request_lines = read_request_log(fleet, "r-lost")
        assert [line["event"] for line in request_lines] == [
            "offer.answered",
            "attempt.failed",
            "request.answered",
        ]
        assert request_lines[-1]["outcome"] == "INCOMPLETE_ANSWER"
        assert request_lines[-1]["configuration"] == 12
        assert not request_lines[1]["not_run"]
        assert fleet.log_path.read_text("utf-8").count("node.started") == 2

    run_fleet(("desk", "meter"), scenario)


def read_request_log(fleet, request_id):
    """Return the log lines of a request from all nodes, by time."""
    lines = [
        json.loads(line)
        for line in fleet.log_path.read_text("utf-8").splitlines()
    ]
    request_lines = [
        line for line in lines if line.get("request") == request_id
    ]
    return sorted(request_lines, key=lambda line: line["time"])


async def has_logged_request(fleet, request_id, count):
    """Return whether all log lines of a request are written."""
    return len(read_request_log(fleet, request_id)) >= count


def test_changed_settings_are_checked_while_requests_go_on(run_fleet):
    """Guards against a node that stops or stalls on a settings change."""

    async def scenario(fleet):
        desk, _ = fleet.machines
        good = desk.settings_path.read_text("utf-8")
        desk.settings_path.write_text("node: [", "utf-8")
        await builders.wait_for(lambda: has_logged(fleet, "refused"), "seen")
        assert (await fleet.send_request(desk)).status == 200
        desk.settings_path.write_text(good, "utf-8")
        desk.process.send_signal(signal.SIGHUP)
        await builders.wait_for(lambda: has_logged(fleet, "read"), "read")
        assert (await fleet.send_request(desk, request_id="r-2")).status == 200

    run_fleet(("desk", "meter"), scenario)


async def has_logged(fleet, word):
    """Return whether a log line about settings is written."""
    return f'"settings.{word}"' in fleet.log_path.read_text("utf-8")


def test_metrics_count_answered_requests(run_fleet):
    """Guards against missing or wrong metrics."""

    async def scenario(fleet):
        desk, meter = fleet.machines
        for number in range(3):
            await fleet.send_request(desk, request_id=f"r-{number}")
        metrics = await fleet.read_metrics(desk)
        prefix = "cyclamenwell_sidecar_"
        assert (
            f'{prefix}requests_total{{outcome="answered",route="read"}} 3.0'
            in metrics
        )
        assert f"{prefix}request_seconds_count 3.0" in metrics
        assert f"{prefix}queued 0.0" in metrics
        at_target = await fleet.read_metrics(meter)
        assert f'{prefix}offers_total{{outcome="answered"}} 3.0' in at_target

    run_fleet(("desk", "meter"), scenario)

"""Node processes and crowds of callers outside of the limits.

The nodes have little memory and few descriptors in their settings, so that a
small crowd shows the fault.
"""

import contextlib
import re

import pytest

from cyclamenwell import clock
from cyclamenwell.platform.tests import builders as platform_builders
from cyclamenwell.sidecar.tests import builders
from cyclamenwell.sidecar.tests import hostile_callers as callers

MEMORY_MB = 80
MAX_DESCRIPTORS = 300
SETTINGS = f"limits: {{memory_mb: {MEMORY_MB}, max_fds: {MAX_DESCRIPTORS}}}"
MB = 1_000_000
BODY_BYTES = 2 * MB
CONFIGURATION = {
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4 * MB,
        "header_timeout_ms": 20_000,
        "idle_timeout_ms": 30_000,
    },
    "routes": platform_builders.build_table(
        platform_builders.build_route_row(timeout_ms=6000)
    ),
}


async def check_health(fleet):
    """Check that all nodes live within their limits and serve a request."""
    for machine in fleet.machines:

        async def is_served(machine=machine):
            answer = await fleet.send_request(
                machine, request_id="ordinary", deadline_ms=6000
            )
            return answer.status == 200

        # Like any caller, this one returns after a refusal.
        await builders.wait_for(is_served, "an ordinary request is served")
        assert machine.process.poll() is None
        assert builders.find_peak_bytes(machine) <= MEMORY_MB * MB
        assert callers.count_descriptors(machine) <= MAX_DESCRIPTORS


def run_with_crowd(folder, payloads, port=builders.CALLER_PORT, prepare=None):
    """Send payloads to the first of two nodes and check both afterwards."""

    async def run_scenario(fleet):
        if prepare is not None:
            prepare(fleet)
        await check_health(fleet)
        crowd = callers.Crowd(fleet.machines[0].host, port)
        with contextlib.closing(crowd):
            await crowd.send(payloads)
            await check_health(fleet)
        await check_health(fleet)

    builders.run_fleet(
        folder,
        ("desk", "meter"),
        run_scenario,
        settings=SETTINGS,
        **CONFIGURATION,
    )


@pytest.mark.parametrize(
    "payload",
    [
        callers.split_short_headers(16_000),
        callers.split_short_headers(60_000),
        callers.split_endless_head(MB),
        callers.split_empty_lines(MB),
    ],
    ids=["short-lines", "many-short-lines", "endless", "empty-lines"],
)
def test_heads_without_end_take_little_memory(tmp_path, payload):
    """Guards against many unfinished heads that use up the memory."""
    pieces = tuple(payload)
    run_with_crowd(tmp_path, [iter(pieces) for _ in range(200)])


def test_many_unfinished_bodies_with_a_length_are_bounded(tmp_path):
    """Guards against many large bodies at once, each short of one byte."""
    run_with_crowd(
        tmp_path, [callers.split_body(BODY_BYTES) for _ in range(60)]
    )


def test_many_unfinished_bodies_in_large_chunks_are_bounded(tmp_path):
    """Guards against many large bodies in chunks that do not end."""
    run_with_crowd(
        tmp_path, [callers.split_large_chunks(BODY_BYTES) for _ in range(60)]
    )


def test_bodies_in_very_small_chunks_cost_what_they_hold(tmp_path):
    """Guards against an object for each chunk of two bytes."""
    run_with_crowd(
        tmp_path, [callers.split_small_chunks(200_000) for _ in range(30)]
    )


def test_many_whole_bodies_at_once_are_bounded(tmp_path):
    """Guards against copies of many large bodies that are forwarded."""

    def slow_down(fleet):
        fleet.machines[1].target.service_time = clock.Milliseconds(1500)

    run_with_crowd(
        tmp_path,
        [callers.split_body(BODY_BYTES, missing=0) for _ in range(60)],
        prepare=slow_down,
    )


def test_many_whole_heads_of_short_lines_at_once_are_bounded(tmp_path):
    """Guards against the objects of many headers that are forwarded."""

    def slow_down(fleet):
        fleet.machines[1].target.service_time = clock.Milliseconds(1500)

    run_with_crowd(
        tmp_path,
        [callers.split_short_headers(15_000, True) for _ in range(200)],
        prepare=slow_down,
    )


def test_bytes_behind_a_running_request_are_bounded(tmp_path):
    """Guards against unread bytes of many connections with a request."""

    def slow_down(fleet):
        fleet.machines[1].target.service_time = clock.Milliseconds(1500)

    run_with_crowd(
        tmp_path,
        [callers.split_pipeline(500_000) for _ in range(150)],
        prepare=slow_down,
    )


def test_answers_that_nobody_reads_are_bounded(tmp_path):
    """Guards against answers held for many callers that do not read."""

    def enlarge(fleet):
        fleet.machines[1].target.body = b"x" * 200_000

    run_with_crowd(
        tmp_path,
        [callers.split_requests(8) for _ in range(150)],
        prepare=enlarge,
    )


def test_connections_beyond_the_descriptors_shut_nobody_out(tmp_path):
    """Guards against a node whose descriptors all belong to idle callers."""
    run_with_crowd(tmp_path, [iter(()) for _ in range(500)])


def test_a_caller_is_refused_with_an_answer_while_all_others_run(tmp_path):
    """Guards against a reset, which does not tell whether a request has run."""
    # Long enough that all requests wait for a slot and none is refused.
    row = platform_builders.build_route_row(
        timeout_ms=20_000, target_latency_ms=30_000
    )

    async def run_scenario(fleet):
        (meter,) = fleet.machines
        meter.target.service_time = clock.Milliseconds(1500)

        async def are_in_progress():
            metrics = await fleet.read_metrics(meter)
            values = re.findall(
                r"^cyclamenwell_sidecar_(?:running|queued) (\S+)", metrics, re.M
            )
            # Of 40 descriptors, 20 are for callers, and 17 of these for
            # requests in progress.
            return sum(map(float, values)) >= 17

        async def is_served():
            answer = await fleet.send_request(meter, deadline_ms=20_000)
            return answer.status == 200

        crowd = callers.Crowd(meter.host, builders.CALLER_PORT)
        with contextlib.closing(crowd):
            payloads = [callers.split_requests(1, 20_000) for _ in range(20)]
            await crowd.send(payloads)
            await builders.wait_for(
                are_in_progress, "the crowd's requests run or wait"
            )
            answer = await fleet.send_request(
                meter, request_id="ordinary", deadline_ms=20_000
            )
            assert answer.status == 503
            fields = {field.name: field.value for field in answer.headers}
            assert float(fields["retry-after"]) > 0
            await builders.wait_for(is_served, "the caller returns later")
        assert not any(
            run.request.find_header("request-id") == "ordinary"
            for run in meter.target.runs
        )

    builders.run_fleet(
        tmp_path,
        ("meter",),
        run_scenario,
        settings="limits: {max_fds: 40}",
        **(CONFIGURATION | {"routes": platform_builders.build_table(row)}),
    )


def test_unfinished_messages_at_the_port_of_peers_are_bounded(tmp_path):
    """Guards against many long messages of strangers that do not end."""
    payloads = [callers.split_frame(BODY_BYTES) for _ in range(60)]
    run_with_crowd(tmp_path, payloads, builders.PEER_PORT)


@pytest.mark.parametrize(
    "port", [builders.READY_PORT, builders.METRICS_PORT, builders.PEER_PORT]
)
def test_other_ports_hold_little_for_strangers(tmp_path, port):
    """Guards against bodies and connections at ports without callers."""
    payloads = [callers.split_body(BODY_BYTES) for _ in range(60)]
    run_with_crowd(tmp_path, payloads + [iter(()) for _ in range(300)], port)


def test_the_largest_allowed_request_is_served_in_calm(tmp_path):
    """Guards against uploads within the limits that are always refused."""

    async def run_scenario(fleet):
        answer = await fleet.send_request(
            fleet.machines[0],
            "POST",
            body=b"x" * (4 * MB),
            deadline_ms=6000,
        )
        assert answer.status == 200
        (run,) = fleet.machines[1].target.runs
        assert len(run.request.body) == 4 * MB
        await check_health(fleet)

    builders.run_fleet(
        tmp_path,
        ("desk", "meter"),
        run_scenario,
        settings=SETTINGS,
        **CONFIGURATION,
    )

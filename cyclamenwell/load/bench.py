"""Benchmark of the latency and processor time that nodes add to a call.

The call paths are measured in short alternating blocks within one run, so that
noise on the machine affects all of them equally.
"""

from __future__ import annotations

from collections.abc import Sequence
import cProfile
import dataclasses
import io
import pathlib
import pstats
import threading
import time
from unittest import mock

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.load import client as clients
from cyclamenwell.load import deployment as deployments
from cyclamenwell.load import ports
from cyclamenwell.load import processes
from cyclamenwell.load import report
from cyclamenwell.node import headers
from cyclamenwell.node import process
from cyclamenwell.node import webserver
from cyclamenwell.settings import node_settings
from cyclamenwell.standin import target as targets

__all__ = ["measure_paths", "profile_call"]

_ORGANISATION = "bench"
_NEAR = "near"
_FAR = "far"
_BLOCK_CALLS = 50
_WARM_UP_CALLS = 200
_CALLER_COUNTS = (1, 4)
_TIMEOUT = clock.Milliseconds(5_000)
_PROFILED_CALLS = 2_000
_SHOWN_FUNCTIONS = 25
# Functions whose cumulative times break a call down into sections.
_PROFILE_SECTIONS = (
    ("entire call", ("webserver.py", "_answer")),
    ("parse the request", ("http1.py", "feed")),
    ("  of it: request line", ("server.py", "read_request_line")),
    ("  of it: header lines", ("server.py", "read_request_headers")),
    ("copy the request's headers", ("webserver.py", "_read_headers")),
    ("start watching for a disconnect", ("cancellation.py", "watch")),
    ("find the route", ("route_matching.py", "match_route")),
    ("authenticate the organisation", ("authenticator.py", "identify_owner")),
    ("strip the request's headers", ("headers.py", "strip_request")),
    ("choose an instance", ("instance_balancer.py", "choose")),
    ("take a rate limit token", ("limiter.py", "take")),
    ("pass admission control", ("gate.py", "enter")),
    ("open a call context", ("contexts.py", "open")),
    ("send to the target (urllib3)", ("target.py", "send")),
    ("  of it: write the request", ("connection.py", "request")),
    ("  of it: read the head", ("connection.py", "getresponse")),
    ("  of it: parse header lines", ("client.py", "parse_headers")),
    ("  of it: read the body", ("target.py", "_read_body")),
    ("send to a peer (Thrift)", ("client.py", "call")),
    ("  of it: encode", ("wire.py", "encode")),
    ("  of it: decode", ("wire.py", "decode")),
    ("count in metrics", ("metrics.py", "count_call")),
    ("write the answer", ("webserver.py", "_write")),
)
# High enough that the rate limit never refuses a call.
_RATE_PER_SECOND = 1_000_000
_BURST = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallPath:
    """A call path to a target.

    Parameters
    ----------
    name : str
        Name in the result table.
    port : int
        Port to which the caller sends requests.
    service : str
        Service that is called.
    pids : tuple of int
        Processes on the path, except the caller.
    """

    name: str
    port: int
    service: str
    pids: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Measurement of one call path.

    Parameters
    ----------
    latencies : tuple of float
        Sorted latencies of the calls in milliseconds.
    processor_ms : float
        Mean processor time per call in milliseconds, over all processes except
        the caller.
    """

    latencies: tuple[float, ...]
    processor_ms: float

    def find_quantile(self, part: float) -> float:
        """Return a quantile of the latencies."""
        last = len(self.latencies) - 1
        return self.latencies[min(int(part * len(self.latencies)), last)]


def measure_paths(seconds: float) -> str:
    """Measure all call paths with different numbers of callers.

    Parameters
    ----------
    seconds : float
        Duration of the measurement for each number of callers.

    Returns
    -------
    str
        Table of the results.
    """
    rows = [
        (
            "callers",
            "path",
            "calls",
            "p50 ms",
            "p99 ms",
            "cpu ms",
            "p50 added",
            "p99 added",
            "cpu added",
            "p50 ratio",
        )
    ]
    with processes.ProcessGroup() as group:
        deployment = _start_deployment(group, nodes=(_NEAR, _FAR))
        paths = _list_paths(group, deployment)
        for callers in _CALLER_COUNTS:
            results = _measure_paths(paths, callers, seconds)
            rows += _build_rows(callers, paths, results)
    return report.render_rows(rows)


def profile_call() -> str:
    """Return a profile of the processor time that a node spends on a call.

    Notes
    -----
    The profiled node runs in this process. Its connection threads are profiled
    by thread processor time, so waiting does not count. The profiler adds
    overhead to every Python function call.
    """
    parts = []
    with processes.ProcessGroup() as group:
        deployment = _start_deployment(group, nodes=(_FAR,))
        near = deployment.members[0]
        deployment.start_node(near)  # Also writes the settings file.
        deployment.wait_for_nodes(_count_documents())
        settings = node_settings.load_settings(
            pathlib.Path(group.directory / f"{near.instance}.yaml")
        )
        group.stop(f"node-{near.instance}")
        for service in (_NEAR, _FAR):
            node = process.Node(settings, clock.SystemClock())
            statistics = _profile_node(node, near.caller_port, service)
            parts.append(f"{service}, {_PROFILED_CALLS} calls\n{statistics}")
    return "\n".join(parts)


def _count_documents() -> int:
    return 4  # Two services, one organisation and the fleet document.


def _start_deployment(
    group: processes.ProcessGroup, nodes: Sequence[str]
) -> deployments.Deployment:
    deployment = deployments.Deployment(group)
    deployment.start_platform()
    deployment.assign_ports(
        (f"{name}-1", name, "dc-1") for name in (_NEAR, _FAR)
    )
    deployment.publish_list()
    for name in (_NEAR, _FAR):
        deployment.publish(f"service/{name}", _build_service(name))
    deployment.publish_organisation(
        _ORGANISATION, deployments.build_key(_ORGANISATION)
    )
    deployment.publish_fleet()
    for member in deployment.members:
        deployment.start_target(member, {})
    for member in deployment.members:
        if member.service in nodes:
            deployment.start_node(member)
    deployment.wait_for_targets()
    if len(nodes) == len(deployment.members):
        deployment.wait_for_nodes(_count_documents())
    return deployment


def _build_service(name: str) -> dict[str, object]:
    return {
        "service": name,
        "owner": "team-bench",
        "routes": [
            {"path": "/calls/{id}", "methods": ["GET"], "idempotent": True}
        ],
        "callers": [
            {
                "organisation": _ORGANISATION,
                "rate_per_second": _RATE_PER_SECOND,
                "burst": _BURST,
            }
        ],
    }


def _list_paths(
    group: processes.ProcessGroup, deployment: deployments.Deployment
) -> tuple[CallPath, ...]:
    near, far = deployment.members
    near_target = group.find_pid(f"target-{near.instance}")
    far_target = group.find_pid(f"target-{far.instance}")
    near_node = group.find_pid(f"node-{near.instance}")
    far_node = group.find_pid(f"node-{far.instance}")
    return (
        CallPath("direct", near.target_port, _NEAR, (near_target,)),
        CallPath("local", near.caller_port, _NEAR, (near_node, near_target)),
        CallPath(
            "two nodes",
            near.caller_port,
            _FAR,
            (near_node, far_node, far_target),
        ),
    )


def _measure_paths(
    paths: Sequence[CallPath], callers: int, seconds: float
) -> list[Result]:
    latencies: list[list[float]] = [[] for _ in paths]
    processor: list[float] = [0.0] * len(paths)
    connections = [
        [clients.ClientConnection(ports.LOOPBACK, path.port) for path in paths]
        for _ in range(callers)
    ]
    for index, path in enumerate(paths):
        _run_block(
            path, [group[index] for group in connections], _WARM_UP_CALLS
        )
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for index, path in enumerate(paths):
            used = [group[index] for group in connections]
            before = _read_processor_ms(path.pids)
            latencies[index] += _run_block(path, used, _BLOCK_CALLS)
            processor[index] += _read_processor_ms(path.pids) - before
    for connection in sum(connections, []):
        connection.close()
    return [
        Result(tuple(sorted(found)), spent / len(found))
        for found, spent in zip(latencies, processor, strict=True)
    ]


def _run_block(
    path: CallPath, connections: Sequence[clients.ClientConnection], calls: int
) -> list[float]:
    """Send calls on all connections concurrently and return the latencies."""
    if len(connections) == 1:
        return _send_calls(path, connections[0], calls)
    latencies: list[list[float]] = []
    threads = [
        threading.Thread(
            target=lambda connection=connection: latencies.append(
                _send_calls(path, connection, calls)
            )
        )
        for connection in connections
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(latencies) < len(connections):
        raise exceptions.CyclamenwellError(
            f"path {path.name}: a caller thread failed"
        )
    return sum(latencies, [])


def _send_calls(
    path: CallPath, connection: clients.ClientConnection, calls: int
) -> list[float]:
    key = deployments.build_key(_ORGANISATION)
    sent = {
        "host": path.service,
        headers.AUTHORIZATION: f"Bearer {key}",
        targets.REQUEST_ID_HEADER: "bench",
    }
    latencies = []
    for _ in range(calls):
        start = time.perf_counter_ns()
        answer = connection.request("GET", "/calls/1", sent, _TIMEOUT)
        latencies.append((time.perf_counter_ns() - start) / 1e6)
        if answer.status != 200 or not answer.matches_request("bench"):
            raise exceptions.CyclamenwellError(
                f"path {path.name}: unexpected answer {answer.status} "
                f"{answer.body!r}"
            )
    return latencies


def _read_processor_ms(pids: Sequence[int]) -> float:
    """Return the processor time of processes, summed over their threads.

    Notes
    -----
    ``/proc`` reports the times of a process in steps of 10 ms, but those of its
    threads in nanoseconds.
    """
    spent = 0
    for pid in pids:
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
            try:
                text = (task / "schedstat").read_text()
            except (FileNotFoundError, ProcessLookupError):
                continue  # The thread has exited.
            spent += int(text.split()[0])
    return spent / 1e6


def _build_rows(
    callers: int, paths: Sequence[CallPath], results: Sequence[Result]
) -> list[tuple[str, ...]]:
    direct = results[0]
    rows = []
    for path, result in zip(paths, results, strict=True):
        p50, p99 = result.find_quantile(0.5), result.find_quantile(0.99)
        direct_p50 = direct.find_quantile(0.5)
        added = (
            p50 - direct_p50,
            p99 - direct.find_quantile(0.99),
            result.processor_ms - direct.processor_ms,
        )
        rows.append(
            (
                str(callers),
                path.name,
                str(len(result.latencies)),
                f"{p50:.3f}",
                f"{p99:.3f}",
                f"{result.processor_ms:.3f}",
                *(f"{value:.3f}" for value in added),
                f"{p50 / direct_p50:.2f}",
            )
        )
    return rows


def _profile_node(node: process.Node, port: int, service: str) -> str:
    profiles: list[cProfile.Profile] = []
    serve = webserver.WebServer._serve

    def serve_profiled(server: webserver.WebServer, connection: object) -> None:
        profile = cProfile.Profile(time.thread_time)
        profiles.append(profile)
        profile.runcall(serve, server, connection)

    path = CallPath("profile", port, service, ())
    connection = clients.ClientConnection(ports.LOOPBACK, port)
    with mock.patch.object(webserver.WebServer, "_serve", serve_profiled):
        node.start()
        try:
            _send_calls(path, connection, _PROFILED_CALLS)
        finally:
            connection.close()
            node.stop()
    text = io.StringIO()
    statistics = pstats.Stats(*profiles, stream=text)
    statistics.strip_dirs().sort_stats("tottime")
    text.write(_render_sections(statistics))
    statistics.print_stats(_SHOWN_FUNCTIONS)
    return text.getvalue()


def _render_sections(statistics: pstats.Stats) -> str:
    """Return the cumulative time of each section of a call as a table."""
    spent = {
        (file, function): values[3]
        for (file, _, function), values in statistics.stats.items()
    }
    whole = spent["webserver.py", "_answer"]
    rows = [("part", "us per call", "share")]
    for name, place in _PROFILE_SECTIONS:
        if place in spent:
            micros = spent[place] * 1e6 / _PROFILED_CALLS
            share = spent[place] / whole
            rows.append((name, f"{micros:.0f}", f"{share:.1%}"))
    return report.render_rows(rows) + "\n"

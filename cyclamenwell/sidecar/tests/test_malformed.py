"""Malformed bytes on every port of a node process."""

import asyncio
import random
import struct

import pytest

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.peers import codec
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar.tests import builders

TIMEOUT = clock.Milliseconds(500)
CODEC = codec.Codec(deployment.WIRE_TYPES)
PORTS = (
    builders.CALLER_PORT,
    builders.READY_PORT,
    builders.PEER_PORT,
    builders.METRICS_PORT,
)


def list_frames():
    """Return a frame of each message type, most of which are no requests."""
    frames = [CODEC.encode(cls()) for cls in CODEC.types]
    return [struct.pack(">I", len(frame)) + frame for frame in frames]


def list_malformed(seed):
    """Return byte strings that are no request on any port, or a bad one."""
    generator = random.Random(seed)
    valid = [
        *list_frames(),
        builders.encode_call(),
        b"POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello",
    ]
    malformed = list(list_frames())
    for _ in range(30):
        data = bytearray(generator.choice(valid))
        for _ in range(generator.randrange(1, 6)):
            data[generator.randrange(len(data))] = generator.randrange(256)
        malformed.append(bytes(data[: generator.randrange(1, len(data) + 1)]))
    return [
        *malformed,
        b"\xff\xff\xff\xff" + b"x" * 100,
        b"\0" * 1000,
        b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 20_000,
        b"GET / HTTP/9.9\r\n\r\n",
        generator.randbytes(5000),
    ]


async def send(host, port, data):
    """Send bytes and wait for an answer, the end, or a short time."""
    stream = await streams.open_stream(host, port, TIMEOUT)
    try:
        stream.send(data)
        await stream.receive(TIMEOUT)
    except (OSError, TimeoutError):
        pass
    finally:
        stream.abort()


@pytest.mark.parametrize("seed", [1, 2])
def test_malformed_bytes_on_any_port_leave_the_node_serving(tmp_path, seed):
    """Guards against one malformed message that takes a process down."""

    async def scenario(fleet):
        entry, other = fleet.machines
        await asyncio.gather(
            *(
                send(machine.host, port, data)
                for machine in (entry, other)
                for port in PORTS
                for data in list_malformed(seed)
            )
        )
        for number in range(5):
            answer = await fleet.send_request(
                entry, request_id=f"after-{number}"
            )
            assert answer.status == 200, answer
        for machine in fleet.machines:
            assert machine.process.poll() is None
            assert await fleet.is_ready(machine)

    builders.run_fleet(tmp_path, ("desk", "meter"), scenario)

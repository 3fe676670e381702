"""Encoding and decoding of messages between nodes."""

import pytest

from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.peers import codec

CODEC = codec.Codec(deployment.WIRE_TYPES)


@pytest.mark.parametrize("size", [0, 1, 300, 20_000_000])
def test_a_body_of_any_size_arrives(size):
    """Guards against large uploads that another node cannot decode.

    The library refuses strings above 16 MB by default.
    """
    start = deployment.Start(
        "r-1", 500.0, deployment.ForwardedRequest(body=b"x" * size)
    )
    assert CODEC.decode(CODEC.encode(start)) == start


def test_every_cut_of_a_frame_is_refused():
    """Guards against a cut message that is taken for a whole one."""
    frame = CODEC.encode(deployment.Offer("r-1", "meter", "i-1"))
    for end in range(len(frame)):
        with pytest.raises(exceptions.ProtocolError):
            CODEC.decode(frame[:end])


def test_a_length_beyond_the_frame_is_refused():
    """Guards against memory that a malformed length reserves."""
    frame = CODEC.encode(deployment.BodyPart("r-1", b"data"))
    index = frame.index(b"data") - 4
    forged = frame[:index] + b"\x7f\xff\xff\xff" + frame[index + 4 :]
    with pytest.raises(exceptions.ProtocolError):
        CODEC.decode(forged)

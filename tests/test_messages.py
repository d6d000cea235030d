"""Codec of control messages."""

from dataclasses import dataclass

import pytest

from clementinedeal._errors import ProtocolError
from clementinedeal._messages import decode, encode, message


@message
@dataclass(frozen=True, slots=True)
class Ping:
    nonce: int
    name: str


def test_a_batch_survives_the_codec() -> None:
    batch = (Ping(1, 'a'), Ping(2, 'b'))
    assert decode(encode(batch)) == batch


def test_unknown_and_malformed_messages_are_refused() -> None:
    @dataclass(frozen=True)
    class Unregistered:
        nonce: int

    with pytest.raises(ProtocolError):
        decode(encode((Unregistered(1),)))
    with pytest.raises(ProtocolError):
        decode(b'\xc1')

"""Owners that stop answering before they have the body of a request."""

import contextlib

import trio
from tests.mesh_fleet import untimed_attempt
from tests.ports import free_address

from clementinedeal._pool import ConnPool, split_address
from clementinedeal._timers import MonotonicClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh import _peer_client
from clementinedeal.mesh import _peer_wire as wire
from clementinedeal.mesh._outcomes import (
    MeshAttempt,
    MeshOutcome,
    encode_outcome_header,
    not_run,
)
from clementinedeal.mesh._peer_client import MeshPeerClient
from clementinedeal.mesh._sender import ANSWER_GRACE_SECONDS
from clementinedeal.mesh._target_client import BufferedRequest

TIME_LEFT_SECONDS = 0.5
LARGE_ANSWER_BYTES = 540_000
LARGE_BODY = bytes(200_000)
PIECES = 10


async def confirm_and_freeze(stream):
    """Act as an owner that confirms a request and then stops answering."""
    await stream.receive_some()
    await stream.send_all(b'HTTP/1.1 102 Processing\r\n\r\n')
    await trio.sleep_forever()


async def refuse_another_attempt(stream):
    """Act as an owner that answers with the outcome of another attempt."""
    told = encode_outcome_header(not_run(Reason.QUEUE_FULL), 'a0')
    answer = b'HTTP/1.1 503 Busy\r\n%b: %b\r\ncontent-length: 0\r\n\r\n'
    with contextlib.suppress(trio.BrokenResourceError):
        while await stream.receive_some():
            await stream.send_all(answer % (wire.TOLD_HEADER, told))


async def answer_slowly(stream):
    """Act as an owner that sends an answer of 540 KB over a slow link."""
    told = encode_outcome_header(
        MeshOutcome(verdict=Verdict.RAN, reached=True, status=200), 'a1'
    )
    head = b'HTTP/1.1 200 OK\r\n%b: %b\r\ncontent-length: %d\r\n\r\n'
    await stream.receive_some()
    await stream.send_all(head % (wire.TOLD_HEADER, told, LARGE_ANSWER_BYTES))
    for _ in range(PIECES):
        await trio.sleep(0.04)
        await stream.send_all(bytes(LARGE_ANSWER_BYTES // PIECES))


async def read_slowly(stream):
    """Act as an owner that gets a body of 200 KB over a slow link."""
    received = 0
    while received < len(LARGE_BODY):
        received += len(await stream.receive_some())
    await trio.sleep(0.4)
    told = encode_outcome_header(
        MeshOutcome(verdict=Verdict.RAN, reached=True, status=200), 'a1'
    )
    answer = b'HTTP/1.1 200 OK\r\n%b: %b\r\ncontent-length: 0\r\n\r\n'
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(answer % (wire.TOLD_HEADER, told))


async def send(owner, nursery, *, idempotent, body=b'x'):
    """Send an attempt to an owner; return its outcome, None if it took long."""
    address = free_address()
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    nursery.start_soon(trio.serve_listeners, owner, listeners)
    clock = MonotonicClock()
    attempt = MeshAttempt(
        attempt='a1',
        req_id='r1',
        target='t1',
        left=TIME_LEFT_SECONDS,
        objective=1.0,
        idempotent=idempotent,
        account='shop',
        caller='s',
        rank=(0, 0),
    )
    with trio.move_on_after(TIME_LEFT_SECONDS + ANSWER_GRACE_SECONDS):
        return await MeshPeerClient(ConnPool(clock), clock).send_attempt(
            address,
            attempt,
            BufferedRequest('POST', '/', ((b'host', b'h'),), body),
            untimed_attempt(),
        )
    return None


async def test_request_without_a_sent_body_is_reported_as_not_run(nursery):
    outcome = await send(confirm_and_freeze, nursery, idempotent=False)
    assert outcome is not None
    assert outcome.verdict is Verdict.NOT_RUN


async def test_outcome_of_another_attempt_is_not_accepted(nursery, monkeypatch):
    monkeypatch.setattr(_peer_client, 'QUERY_SECONDS', 0.2)
    outcome = await send(refuse_another_attempt, nursery, idempotent=True)
    assert outcome is not None
    assert outcome.verdict is Verdict.MAY_HAVE_RUN


async def test_large_answer_may_take_longer_than_a_silent_owner(
    nursery, monkeypatch
):
    monkeypatch.setattr(_peer_client, 'MAX_SILENCE_SECONDS', 0.2)
    outcome = await send(answer_slowly, nursery, idempotent=True)
    assert outcome is not None
    assert outcome.status == 200
    assert len(outcome.body) == LARGE_ANSWER_BYTES


async def test_large_body_may_take_as_long_as_a_slow_link_needs(nursery):
    outcome = await send(read_slowly, nursery, idempotent=True, body=LARGE_BODY)
    assert outcome is not None
    assert outcome.status == 200

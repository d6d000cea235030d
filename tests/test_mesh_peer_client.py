"""Owners that stop answering before they have the body of a request."""

import trio
from tests.mesh_fleet import untimed_attempt
from tests.ports import free_address

from clementinedeal._pool import ConnPool, split_address
from clementinedeal._timers import MonotonicClock
from clementinedeal._verdict import Verdict
from clementinedeal.mesh._outcomes import MeshAttempt
from clementinedeal.mesh._peer_client import MeshPeerClient
from clementinedeal.mesh._sender import ANSWER_GRACE_SECONDS
from clementinedeal.mesh._target_client import BufferedRequest

TIME_LEFT_SECONDS = 0.5


async def confirm_and_freeze(stream):
    """Act as an owner that confirms a request and then stops answering."""
    await stream.receive_some()
    await stream.send_all(b'HTTP/1.1 102 Processing\r\n\r\n')
    await trio.sleep_forever()


async def test_request_without_a_sent_body_is_reported_as_not_run(nursery):
    address = free_address()
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    nursery.start_soon(trio.serve_listeners, confirm_and_freeze, listeners)
    clock = MonotonicClock()
    attempt = MeshAttempt(
        attempt='a1',
        req_id='r1',
        target='t1',
        left=TIME_LEFT_SECONDS,
        objective=1.0,
        idempotent=False,
        account='shop',
        caller='s',
        rank=(0, 0),
    )
    outcome = None
    with trio.move_on_after(TIME_LEFT_SECONDS + ANSWER_GRACE_SECONDS):
        outcome = await MeshPeerClient(ConnPool(clock), clock).send_attempt(
            address,
            attempt,
            BufferedRequest('POST', '/', (), b'x'),
            untimed_attempt(),
        )
    assert outcome is not None
    assert outcome.verdict is Verdict.NOT_RUN

"""Refusals of targets on connections that have carried other requests."""

import trio
from result import Ok
from tests.ports import free_address

from clementinedeal._http import RequestHead
from clementinedeal._model import Target
from clementinedeal._pool import ConnPool, split_address
from clementinedeal._replies import Request, WholeBody
from clementinedeal._target_call import TargetCall, TargetCaller
from clementinedeal._timers import MonotonicClock
from clementinedeal._verdict import Verdict

REFUSAL = b'HTTP/1.1 503 Busy\r\nx-target-refused: not-started\r\n'
END = b'content-length: 0\r\n\r\n'


async def refuse(stream):
    """Refuse every request without naming it."""
    while await stream.receive_some():
        await stream.send_all(REFUSAL + END)


def make_call(address):
    head = RequestHead('GET', '/', ((b'host', b'h'),))
    return TargetCall(
        target=Target(name='t1', service='s', instance='i1', address=address),
        req_id='r1',
        req=Request(head, WholeBody(b'')),
        seconds_left=1.0,
        may_start=lambda: Ok(None),
        scope=trio.CancelScope(),
    )


async def call(caller, address):
    """Send a request; return its verdict."""
    async with caller.call(make_call(address)) as reply:
        return reply.verdict


async def test_unnamed_refusal_counts_only_on_a_new_connection(nursery):
    address = free_address()
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    nursery.start_soon(trio.serve_listeners, refuse, listeners)
    caller = TargetCaller(ConnPool(MonotonicClock()))
    assert await call(caller, address) is Verdict.NOT_RUN
    assert await call(caller, address) is Verdict.MAY_HAVE_RUN

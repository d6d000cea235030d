"""Planned stops of whole daemons under their callers."""

import contextlib
import time

import trio
import trio.lowlevel

from clementinedeal._http import ConnLostError, RequestHead
from clementinedeal.mesh._daemon import KILL_MARGIN_SECONDS


async def is_ready(fleet, number):
    address = fleet.settings[number].ready
    conn = await fleet.pool.acquire(address)
    await conn.send_whole(RequestHead('GET', '/-/ready', HOST), b'')
    answer = await conn.read_head()
    conn.abort()
    return answer.status == 200


HOST = ((b'host', b'x'),)


async def test_planned_stop_cuts_no_request(fleet, nursery):
    fleet.targets[0].seconds = 0.5
    statuses = []

    async def ask():
        answer, _ = await fleet.send(0, '/book/1')
        statuses.append(answer.status)

    assert await is_ready(fleet, 0)
    for _ in range(5):
        nursery.start_soon(ask)
    await trio.sleep(0.1)
    fleet.daemons[0].stop()
    await trio.lowlevel.checkpoint()
    assert not await is_ready(fleet, 0)
    answer, _ = await fleet.send(0, '/book/1')
    assert answer.status == 200
    assert answer.header(b'connection') == b'close'
    await trio.sleep(0.8)
    assert statuses == [200] * 5


async def test_late_requests_of_a_stopping_daemon_are_refused_unrun(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    async with trio.open_nursery() as nursery:
        # a request that runs on keeps the daemon up
        nursery.start_soon(fleet.send, 0, '/open/1', b'')
        await trio.sleep(0.2)
        fleet.daemons[0].stop()
        await trio.sleep(1.5)
        nursery.cancel_scope.cancel()
    for target in fleet.targets:
        target.mode = 'ok'
        target.seconds = 1.5
    before = len(fleet.runs())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.send, 0, '/look/2')
        await trio.sleep(1.2)
        answer, _ = await fleet.send(0, '/book/late')
        assert answer.status == 503
        assert answer.header(b'x-verdict') == b'not-run'
    assert not [one for one in fleet.runs()[before:] if one[1] == '/book/late']


async def test_what_waits_for_a_target_is_refused_before_the_end(
    fleet,
    nursery,
):
    for target in fleet.targets:
        target.mode = 'shed'
    fleet.daemons[0].stop()
    fleet.daemons[0]._sender.closing = True
    answer, _ = await fleet.send(0, '/book/1')
    assert answer.status == 503
    assert answer.header(b'x-reason') == b'draining'


async def test_a_slow_loop_does_not_delay_the_end(fleet, nursery):
    for target in fleet.targets:
        target.mode = 'hang'

    async def keep_busy():
        while True:
            with contextlib.suppress(ConnLostError):
                await fleet.send(0, '/open/1')
            await trio.lowlevel.checkpoint()

    async def hold_up():
        while True:
            time.sleep(0.06)  # noqa: ASYNC251
            await trio.sleep(0.01)

    nursery.start_soon(keep_busy)
    nursery.start_soon(hold_up)
    await trio.sleep(0.3)
    begun = trio.current_time()
    await fleet.daemons[0]._drain()
    left = fleet.settings[0].bounds.stop - (trio.current_time() - begun)
    nursery.cancel_scope.cancel()
    # a round of the loop may end it late
    assert left > KILL_MARGIN_SECONDS - 0.1

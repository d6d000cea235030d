"""Targets and a store that send without end to a process with little memory.

The tests start daemon processes and check that they live, that their memory
stays within the limit of the settings, and that requests to a sound target are
answered meanwhile.
"""

import contextlib

import pytest
import trio
from tests.endless_standin import BODIES, HEADS, MAX_SENT_BYTES
from tests.low_limits_fleet import (
    MEMORY_MB,
    SECONDS,
    Monitor,
    send_ordinary_request,
)

from clementinedeal._http import BROKEN_STREAM_ERRORS

pytestmark = pytest.mark.alone

CALLERS = 40
REQUESTS = 2  # of each caller
KINDS = {
    name: {**HEADS, **BODIES}[name]
    for name in ('junk-line', 'many-header-lines', 'no-length')
}


def endless(opening, repeated):
    """Return a function that answers a request without end."""
    block = repeated * ((1 << 16) // len(repeated))

    async def serve(conn, _):
        stream = conn._h11_stream.stream
        with contextlib.suppress(*BROKEN_STREAM_ERRORS):
            await stream.send_all(opening)
            for _ in range(MAX_SENT_BYTES // len(block)):
                await stream.send_all(block)
        await conn.aclose()

    return serve


async def send_many(instance):
    """Send requests of many callers; return the statuses."""
    statuses = []

    async def call(number):
        for turn in range(REQUESTS):
            path = f'/look/{number}.{turn}'
            statuses.append(await send_ordinary_request(instance, path))

    async with trio.open_nursery() as nursery:
        for number in range(CALLERS):
            nursery.start_soon(call, number)
    return statuses


async def check_processes(fleet, nursery):
    """Send requests, and check processes, memory and answers."""
    processes = [instance.process for instance in fleet.instances]
    monitor = Monitor(processes)
    nursery.start_soon(monitor.run)
    with trio.fail_after(SECONDS):
        statuses = [
            status
            for instance in fleet.instances
            for status in await send_many(instance)
        ]
    monitor.measure()
    print(monitor.max_bytes, {one: statuses.count(one) for one in statuses})
    assert [process.poll() for process in processes] == [None, None]
    assert monitor.max_bytes < MEMORY_MB * 1_000_000
    return statuses


@pytest.mark.parametrize('kind', KINDS)
async def test_endless_answers_end_no_process(kind, low_fleet, nursery):
    for instance in low_fleet.instances:
        instance.target.serve_instead = endless(*KINDS[kind])
    statuses = await check_processes(low_fleet, nursery)
    assert 200 not in statuses
    low_fleet.instances[0].target.serve_instead = None
    status = 0
    with trio.fail_after(SECONDS):
        while status != 200:
            await trio.sleep(0.1)
            status = await send_ordinary_request(low_fleet.instances[1])


async def test_requests_are_served_beside_an_endless_target(low_fleet, nursery):
    sick, _ = low_fleet.instances
    sick.target.serve_instead = endless(*KINDS['no-length'])
    statuses = await check_processes(low_fleet, nursery)
    assert statuses.count(200) > 0.9 * len(statuses)


async def test_an_endless_store_ends_no_process(low_fleet, nursery):
    low_fleet.store.serve_instead = endless(*KINDS['no-length'])
    await check_processes(low_fleet, nursery)

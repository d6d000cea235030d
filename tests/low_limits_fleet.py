"""A fleet of processes with the limits of a very small machine."""

import os
import pathlib

import pytest
import trio
from tests.soak_fleet import Fleet

from clementinedeal._http import RequestHead
from clementinedeal._pool import ConnPool
from clementinedeal._timers import MonotonicClock

MEMORY_MB = 100
MAX_FDS = 300
BODY_BYTES = 16 << 20
SECONDS = 120  # only ends a test that hangs


class LowLimitsFleet(Fleet):
    """Two daemons with the limits of a very small machine."""

    services = ('till',) * 2
    more_settings = f"""
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_FDS}
"""

    def configuration(self):
        document = super().configuration()
        for item in document['resources']:
            if item['entry_type'] == 'limits':
                item['spec']['max_body_bytes'] = BODY_BYTES
                item['spec']['idle_timeout_s'] = 60
            if item['entry_type'] == 'routes':
                item['spec']['timeout_s'] = 10
        return document


class Monitor:
    """Watches the memory and the descriptors of processes.

    ``max_bytes`` and ``max_fds`` are the largest values of any process.
    """

    def __init__(self, processes):
        self._folders = [
            pathlib.Path('/proc') / str(process.pid) for process in processes
        ]
        self.max_bytes = 0
        self.max_fds = 0

    async def run(self):
        while True:
            self.measure()
            await trio.sleep(0.02)

    def measure(self):
        for folder in self._folders:
            for line in (folder / 'status').read_text().splitlines():
                if line.startswith('VmHWM'):
                    peak = int(line.split()[1]) * 1024
                    self.max_bytes = max(self.max_bytes, peak)
            self.max_fds = max(self.max_fds, len(os.listdir(folder / 'fd')))


async def send_ordinary_request(instance, path='/look/1', body=b''):
    """Send a request on a new connection and return its status."""
    headers = (
        (b'host', b'h.example'),
        (b'attempt-id', b'ordinary'),
        (b'deadline-ms', b'9000'),
        (b'authorization', b'Bearer key-1'),
    )
    method = 'GET'
    if body:
        method = 'POST'
        headers = (*headers, (b'content-length', b'%d' % len(body)))
    conn = await ConnPool(MonotonicClock()).connect(instance.caller_address)
    await conn.send_whole(RequestHead(method, path, headers), body)
    answer = await conn.read_head()
    await conn.aclose()
    if answer.status != 200:
        print(path, answer.status, answer.header(b'x-reason'))
    return answer.status


@pytest.fixture
async def low_fleet(tmp_path, nursery):
    fleet = LowLimitsFleet(tmp_path)
    try:
        await fleet.start(nursery)
        with trio.fail_after(SECONDS):
            for instance in fleet.instances:
                await instance.wait_until_listening()
                status = 0
                while status != 200:
                    await trio.sleep(0.05)
                    status = await send_ordinary_request(instance)
        yield fleet
    finally:
        fleet.kill()

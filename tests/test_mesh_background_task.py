"""Daemons survive unreadable input and exceptions in background tasks."""

import socket

import pytest
import trio
from tests.store_standin import configuration

from clementinedeal._pool import split_address
from clementinedeal.mesh import _background_task

NESTING_DEPTH = 1_500


def nested(text):
    """Return ``text`` with a deeply nested list in place of ``%b``."""
    return text % (b'[' * NESTING_DEPTH + b']' * NESTING_DEPTH)


@pytest.mark.parametrize(
    ('key', 'blob'),
    [
        ('servers/t9', nested(b'{"address":"127.0.0.1:1","x":%b}')),
        ('op/config', nested(b'{"version":9,"x":%b}')),
    ],
)
async def test_deeply_nested_bytes_in_the_store_end_no_daemon(fleet, key, blob):
    fleet.store.put(key, blob)
    await trio.sleep(1.5)
    assert not any(event.is_set() for event in fleet.ended)
    fleet.store.put('op/config', configuration(10, api_keys=['key-2']))
    await trio.sleep(0.5)
    answer, _ = await fleet.send(0, '/look/1', key='key-2')
    assert answer.status == 200


async def test_a_deeply_nested_datagram_ends_no_daemon(fleet):
    host, _ = split_address(fleet.settings[0].caller_address)
    blob = b'\x94\xa4draw\x01\xa1a' + b'\x91' * 1300 + b'\xc0'
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.sendto(blob, (host, fleet.settings[0].port_range[0]))
    await trio.sleep(0.3)
    assert b'datagram-unread' in fleet.daemons[0].events.json_lines()
    answer, _ = await fleet.send(0, '/look/1')
    assert answer.status == 200


async def test_a_failed_background_task_is_restarted(monkeypatch, caplog):
    monkeypatch.setattr(_background_task, 'RESTART_DELAY_SECONDS', 0.01)
    runs = []

    async def fail_twice():
        runs.append(trio.current_time())
        await trio.lowlevel.checkpoint()
        if len(runs) < 3:
            raise ValueError('bug')

    with trio.fail_after(1):
        await _background_task.keep_running(fail_twice)
    assert len(runs) == 3
    assert caplog.text.count('event=part-failed') == 2

"""The bench's stand-in for the platform: reads, watches and failure modes."""

import msgspec
import pytest
import trio

from clementinedeal_bench._platform import (
    MAX_READS_PER_SECOND,
    Platform,
    PlatformMode,
    PlatformSettings,
    ReadLimiter,
)
from clementinedeal_bench._platform_server import PlatformServer
from clementinedeal_bench._web_messages import WebRequest


@pytest.fixture
def server() -> PlatformServer:
    return PlatformServer(Platform(PlatformSettings()), ReadLimiter(5))


async def ask(server: PlatformServer, method: str, target: str, body=b''):
    req = WebRequest(method=method, target=target, body=body)
    return await server.handle(req)


def test_waiting_watches_count_against_the_read_limit() -> None:
    """A watch that has waited for more than a second still counts as a call."""
    limiter = ReadLimiter()
    calls = [limiter.admit(0.0) for _ in range(MAX_READS_PER_SECOND)]
    assert None not in calls
    assert limiter.admit(0.5) is None
    limiter.start_watch(calls[0] or 0, 0.0)
    later = [limiter.admit(2.0) for _ in range(MAX_READS_PER_SECOND)]
    assert later.count(None) == 1
    assert limiter.counters().refused == 2


def test_stale_mode_serves_the_snapshot_and_lag_delays_the_newest() -> None:
    platform = Platform(PlatformSettings())
    platform.publish('a', b'1', 0.0)
    platform.configure(PlatformSettings(mode=PlatformMode.STALE), 1.0)
    platform.publish('a', b'2', 2.0)
    assert platform.read('a', 3.0).body == b'1'
    platform.configure(PlatformSettings(), 4.0)
    assert platform.read('a', 4.0).body == b'2'
    platform.publish('a', b'3', 5.0, lag_seconds=10.0)
    assert platform.read('a', 14.9).version == 2
    assert platform.read('a', 15.0).version == 3


async def test_watch_waits_for_a_newer_version(server, autojump_clock):
    assert (await ask(server, 'GET', '/values/root')).status == 404
    await ask(server, 'PUT', '/operator/values/root', b'one')
    answers = []

    async def watch() -> None:
        answers.append(await ask(server, 'GET', '/values/root?after=1&wait=9'))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.sleep(5)
        assert not answers
        await ask(server, 'PUT', '/operator/values/root', b'two')
    assert answers[0].body == b'two'
    assert answers[0].header('x-version') == '2'
    late = await ask(server, 'GET', '/values/root?after=2&wait=3')
    assert late.status == 304


async def test_read_limit_down_mode_and_value_size_limit(
    server, autojump_clock
):
    await ask(server, 'PUT', '/operator/values/v', b'body')
    statuses = [
        (await ask(server, 'GET', '/values/v')).status for _ in '123456'
    ]
    assert statuses == [200] * 5 + [429]
    await trio.sleep(2)
    await ask(server, 'PUT', '/operator/mode', b'{"mode": "down"}')
    assert (await ask(server, 'GET', '/values/v')).is_dropped
    big = await ask(server, 'PUT', '/operator/values/v', b'x' * 1_000_001)
    assert big.status == 413
    bad = await ask(server, 'PUT', '/operator/mode', b'{"mode": "sideways"}')
    assert bad.status == 400


async def test_an_instance_list_becomes_visible_after_its_lag(
    server, autojump_clock
):
    await ask(server, 'PUT', '/operator/mode', b'{"lag": 3.0}')
    listed = b'{"instances": [{"name": "d1", "state": "leaving"}]}'
    await ask(server, 'PUT', '/operator/instances', listed)
    assert (await ask(server, 'GET', '/instances')).status == 404
    start = trio.current_time()
    answer = await ask(server, 'GET', '/instances?after=0&wait=10')
    assert trio.current_time() - start >= 3
    seen = msgspec.json.decode(answer.body)
    assert seen['version'] == 1
    assert seen['instances'] == [{'name': 'd1', 'state': 'leaving'}]

"""Declarations: never older, and known to be new."""

import pytest
import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import BootClock, MonotonicClock, VirtualClock
from clementinedeal.mesh._contracts import HistoryGoneError, SourceError
from clementinedeal.mesh._daemon import MeshDaemon
from clementinedeal.mesh._declarations import DeclarationFeed
from clementinedeal.mesh._settings import NodeSettings
from clementinedeal.mesh._types import Declaration, DeclarationUpdate


class Source:
    """Answers from a script; then it is silent."""

    def __init__(self, clock, script):
        self.clock = clock
        self.script = list(script)
        self.asked = []
        self.done = trio.Event()

    async def read(self):
        return await self._next(0, 0)

    async def wait(self, revision, seconds):
        return await self._next(revision, seconds)

    async def _next(self, revision, seconds):
        self.asked.append(revision)
        if not self.script:
            self.done.set()
            await trio.sleep_forever()
        news, held = self.script.pop(0)
        self.clock.advance(seconds if held is None else held)
        await trio.lowlevel.checkpoint()
        if isinstance(news, Exception):
            raise news
        return news


def version(number, revision):
    declaration = Declaration(
        version=number,
        routes=(),
        services=frozenset(),
        accounts=(),
    )
    return DeclarationUpdate(
        revision=revision,
        published_revision=revision,
        declaration=declaration,
    )


async def follow(script):
    clock = VirtualClock(100)
    source = Source(clock, script)
    feed = DeclarationFeed(source, clock, EventLog('i', '1'), 5.0)
    with trio.move_on_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            await source.done.wait()
            await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
    return feed, source, clock


async def test_takes_newer_versions_only(autojump_clock):
    feed, _, _ = await follow(
        [(version(3, 20), 0), (version(5, 30), 0), (version(4, 25), 0)],
    )
    assert feed.version == 5


async def test_reads_again_when_history_is_gone(autojump_clock):
    feed, source, _ = await follow(
        [
            (version(3, 20), 0),
            (HistoryGoneError('gone'), 0),
            (version(7, 90), 0),
        ],
    )
    assert feed.version == 7
    assert source.asked[:3] == [0, 20, 0]


async def test_empty_watch_proves_newness_to_its_end(autojump_clock):
    empty = DeclarationUpdate(revision=21)
    feed, _, clock = await follow([(version(3, 20), 0), (empty, None)])
    assert feed.age == pytest.approx(0)
    clock.advance(4.6)
    assert feed.is_fresh()
    clock.advance(0.2)
    assert not feed.is_fresh()


async def test_watch_answered_early_proves_only_its_beginning(autojump_clock):
    empty = DeclarationUpdate(revision=21)
    feed, _, _ = await follow([(version(3, 20), 0), (empty, 0.9)])
    assert feed.age == pytest.approx(0.9)


async def test_failed_calls_prove_nothing(autojump_clock):
    feed, _, _ = await follow(
        [(version(3, 20), 0), (SourceError('busy'), 3), (SourceError(''), 3)],
    )
    assert feed.version == 3
    assert not feed.is_fresh()


def test_daemons_count_time_in_which_the_machine_slept():
    settings = NodeSettings(
        instance='n',
        zone='a',
        callers='127.0.0.1:1',
        peers='127.0.0.1:2',
        ready='127.0.0.1:3',
        target='127.0.0.1:4',
        service='s',
        platform='127.0.0.1:5',
        ports=(6, 6),
    )
    clocks = []
    MeshDaemon(
        settings,
        lambda: None,
        lambda address, pool, events: clocks.append(pool._clock),
        None,
    )
    assert isinstance(clocks[0], BootClock)
    monotonic = MonotonicClock().now()
    assert BootClock().now() >= monotonic

"""A feed never returns to an older declaration and reports when it is stale."""

import pytest
import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import BootClock, MonotonicClock, VirtualClock
from clementinedeal.mesh._contracts import HistoryGoneError, SourceError
from clementinedeal.mesh._daemon import MeshDaemon
from clementinedeal.mesh._declarations import DeclarationFeed
from clementinedeal.mesh._settings import MeshDaemonSettings
from clementinedeal.mesh._types import Declaration, DeclarationUpdate, Revision


class ScriptedSource:
    """A declaration source that answers from a script, then not at all.

    :param script: pairs of an update or exception and the seconds that the
        call takes; None for the whole time that a watch may wait.
    """

    def __init__(self, clock, script):
        self.clock = clock
        self.script = list(script)
        self.revisions = []
        self.done = trio.Event()

    async def read(self):
        return await self._next(None, 0)

    async def wait(self, revision, seconds):
        return await self._next(revision, seconds)

    async def _next(self, revision, seconds):
        self.revisions.append(revision)
        if not self.script:
            self.done.set()
            await trio.sleep_forever()
        update, seconds_held = self.script.pop(0)
        self.clock.advance(seconds if seconds_held is None else seconds_held)
        await trio.lowlevel.checkpoint()
        if isinstance(update, Exception):
            raise update
        return update


def update_of_version(number, revision, era=1):
    declaration = Declaration(
        version=number,
        routes=(),
        services=(),
        accounts=(),
    )
    return DeclarationUpdate(
        revision=Revision(era, revision),
        changed=True,
        declaration=declaration,
    )


def unreadable_update(revision):
    return DeclarationUpdate(revision=Revision(1, revision), changed=True)


async def follow(script, reported_version=0):
    """Run a feed until its script ends; return feed, source and clock.

    :param reported_version: a version that another daemon has.
    """
    clock = VirtualClock(100)
    source = ScriptedSource(clock, script)
    feed = DeclarationFeed(source, clock, EventLog('i', '1'), 5.0)
    feed.on_reported(reported_version, clock.now())
    with trio.move_on_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            await source.done.wait()
            await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
    return feed, source, clock


async def test_older_versions_are_ignored(autojump_clock):
    feed, _, _ = await follow(
        [
            (update_of_version(3, 20), 0),
            (update_of_version(5, 30), 0),
            (update_of_version(4, 25), 0),
        ],
    )
    assert feed.version == 5


async def test_declaration_is_read_again_when_the_history_is_gone(
    autojump_clock,
):
    feed, source, _ = await follow(
        [
            (update_of_version(3, 20), 0),
            (HistoryGoneError('gone'), 0),
            (update_of_version(7, 90), 0),
        ],
    )
    assert feed.version == 7
    assert source.revisions[:3] == [None, Revision(1, 20), None]


async def test_complete_empty_watch_confirms_until_its_end(autojump_clock):
    empty = DeclarationUpdate(revision=Revision(1, 21))
    feed, _, clock = await follow(
        [(update_of_version(3, 20), 0), (empty, None)]
    )
    assert feed.age == pytest.approx(0)
    clock.advance(4.6)
    assert feed.is_fresh()
    clock.advance(0.2)
    assert not feed.is_fresh()


async def test_watch_answered_early_confirms_only_its_start(autojump_clock):
    empty = DeclarationUpdate(revision=Revision(1, 21))
    feed, _, _ = await follow([(update_of_version(3, 20), 0), (empty, 0.9)])
    assert feed.age == pytest.approx(0.9)


async def test_failed_calls_do_not_confirm_the_declaration(autojump_clock):
    feed, _, _ = await follow(
        [
            (update_of_version(3, 20), 0),
            (SourceError('busy'), 3),
            (SourceError(''), 3),
        ],
    )
    assert feed.version == 3
    assert not feed.is_fresh()


def test_clock_counts_the_time_of_a_suspended_system():
    settings = MeshDaemonSettings(
        instance='n',
        zone='a',
        caller_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        ready_address='127.0.0.1:3',
        target_address='127.0.0.1:4',
        service='s',
        platform_address='127.0.0.1:5',
        port_range=(6, 6),
    )
    clocks = []
    MeshDaemon(
        settings,
        lambda: None,
        lambda address, pool, events, **_: clocks.append(pool._clock),
        None,
    )
    assert isinstance(clocks[0], BootClock)
    monotonic = MonotonicClock().now()
    assert BootClock().now() >= monotonic


async def test_version_that_a_restored_source_lost_stays_in_force(
    autojump_clock,
):
    feed, _, _ = await follow(
        [
            (update_of_version(3, 20), 0),
            (update_of_version(5, 30), 0),
            (HistoryGoneError('restored'), 0),
            (update_of_version(3, 20, era=2), 0),
        ],
    )
    assert feed.version == 5


async def test_version_with_a_reused_revision_is_taken(autojump_clock):
    feed, _, _ = await follow(
        [
            (update_of_version(5, 30), 0),
            (update_of_version(5, 28, era=2), 0),
            (update_of_version(7, 30, era=2), 0),
        ],
    )
    assert feed.version == 7


@pytest.mark.parametrize(
    'shown', [update_of_version(3, 20, era=2), unreadable_update(30)]
)
async def test_source_that_does_not_show_the_version_in_force_proves_nothing(
    autojump_clock, shown
):
    empty = DeclarationUpdate(revision=shown.revision)
    feed, _, clock = await follow(
        [
            (update_of_version(5, 30), 0),
            (shown, 0),
            (empty, None),
            (empty, None),
            (empty, None),
        ],
    )
    assert feed.version == 5
    assert not feed.is_fresh()


async def test_restored_source_proves_nothing_until_it_is_published_again(
    autojump_clock,
):
    script = [
        (update_of_version(5, 30), 0),
        (update_of_version(5, 30, era=2), 0),
        (DeclarationUpdate(revision=Revision(2, 30)), None),
    ]
    feed, _, _ = await follow(script)
    assert feed.age == pytest.approx(1.7)
    feed, _, _ = await follow([*script, script[-1]])
    assert feed.age == pytest.approx(0)


async def test_daemon_is_outdated_if_the_source_lost_a_version_of_others(
    autojump_clock,
):
    copy = update_of_version(5, 30, era=2)
    feed, _, _ = await follow([(copy, 0.1)])
    assert not feed.is_outdated()
    feed, _, _ = await follow([(copy, 0.1), (copy, 0.1)], reported_version=8)
    assert feed.is_outdated()
    script = [(copy, 0.1), (copy, 0.1), (update_of_version(8, 31, era=2), 0.1)]
    feed, _, _ = await follow(script, reported_version=8)
    assert not feed.is_outdated()

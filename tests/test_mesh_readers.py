"""Which daemons read the platform, and what the others believe of them."""

import math
from dataclasses import replace

import pytest
import trio
import trio.testing
from tests.trio_clock import TrioClock

from clementinedeal._events import EventLog
from clementinedeal._timers import VirtualClock
from clementinedeal.mesh._declarations import (
    PROOF_WATCH_SECONDS,
    DeclarationFeed,
)
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._fleet_news import FleetNews, FleetNewsParts
from clementinedeal.mesh._news_messages import NewsHint, NewsReply, NewsRequest
from clementinedeal.mesh._reading_role import ReadingRole
from clementinedeal.mesh._registry_watch import RegistryWatch
from clementinedeal.mesh._settings import Bounds
from clementinedeal.mesh._target_feed import TargetFeed
from clementinedeal.mesh._types import (
    Declaration,
    DeclarationUpdate,
    EvacuationChanges,
    Evacuations,
    Listing,
    ListingChanges,
    Revision,
    Target,
    TargetUpdate,
)

BOUNDS = Bounds(config_seconds=3, drain_seconds=3)


def make_target(number, zone='a', *, draining=False):
    return Target(
        name=f't{number}',
        service='till',
        address=f'10.0.{number // 250}.{number % 250}:80',
        zone=zone,
        slots=3,
        draining=draining,
        started_ms=5,
    )


def make_roles(targets):
    """Return the role of each target's daemon, all with the same list."""
    roles = []
    for target in targets:
        role = ReadingRole(target.host, target.zone, BOUNDS, VirtualClock())
        role.set_targets(targets)
        roles.append(role)
    return roles


@pytest.mark.parametrize(
    ('daemon_count', 'reader_count'), [(2, 2), (27, 2), (233, 2), (650, 6)]
)
def test_few_readers_are_chosen_alike_by_all(daemon_count, reader_count):
    targets = [make_target(n, zone='abc'[n % 3]) for n in range(daemon_count)]
    roles = make_roles(targets)
    chosen = [frozenset(role.readers[:reader_count]) for role in roles]
    assert len(set(chosen)) == 1
    assert sum(role.is_reader for role in roles) == reader_count
    zone_of = {one.host: one.zone for one in targets}
    assert len({zone_of[host] for host in chosen[0]}) >= 2


def test_questions_are_spread_over_the_readers():
    targets = [make_target(n, zone='abcdef'[n % 6]) for n in range(233)]
    first_asked = [role.readers[0] for role in make_roles(targets)]
    assert all(first_asked.count(one) > 60 for one in set(first_asked))


def test_what_readers_tell_is_never_older_than_the_limits():
    for limit in (2, 2.5, 3):
        bounds = Bounds(config_seconds=limit, drain_seconds=limit)
        role = ReadingRole('10.0.0.1', 'a', bounds, VirtualClock())
        oldest = role.read_interval + role.ask_interval
        assert oldest < min(role.max_declaration_age, role.max_target_age)
        assert role.max_target_age < limit


def test_reader_whose_target_drains_is_replaced():
    targets = [make_target(n) for n in range(9)]
    (role, *_) = make_roles(targets)
    former = role.readers
    role.set_targets(
        make_target(n, draining=one.host == former[0])
        for n, one in enumerate(targets)
    )
    assert former[0] not in role.readers
    assert former[1] in role.readers


class Datagrams:
    """Delivers a question to a scripted reader at once.

    ``answer`` maps a question to its reply, None for silence. With ``peers``,
    messages go there instead.
    """

    def __init__(self):
        self.peers = None
        self.answer = lambda host, request: None
        self.news = None
        self.sent = []

    async def send(self, host, body):
        self.sent.append((host, body))
        if self.peers is not None:
            await self.peers.send(host, body)
        elif isinstance(body, NewsRequest):
            reply = self.answer(host, body)
            if reply is not None:
                await self.news.on_message(host, reply)


class CountingSource:
    """A platform with one declaration and one target a daemon."""

    def __init__(self, targets):
        self.targets = targets
        self.reads = 0
        self.revision = 7
        self.evacuated = {}
        self.changes = {}
        self.tells_evacuations = True
        self.waits = []

    async def read(self):
        self.reads += 1
        await trio.lowlevel.checkpoint()
        declaration = Declaration(
            version=self.revision, routes=(), services=(), accounts=()
        )
        return DeclarationUpdate(
            revision=Revision(1, self.revision),
            changed=True,
            declaration=declaration,
            evacuations=EvacuationChanges(
                zones=dict(self.evacuated), is_complete=True
            )
            if self.tells_evacuations
            else None,
        )

    async def wait(self, revision, seconds):
        self.reads += 1
        self.waits.append((revision, seconds))
        await trio.sleep(seconds)
        return DeclarationUpdate(revision=revision)

    async def list_targets(self, *, may_lag):
        return Listing(
            revision=Revision(1, 3),
            targets={one.name: one for one in self.targets},
        )

    async def wait_changes(self, revision, seconds):
        await trio.lowlevel.checkpoint()
        changes, self.changes = self.changes, {}
        return ListingChanges(revision=revision, targets=changes)


class Owner:
    target = None

    def set_target(self, target):
        self.target = target


class Balancer:
    def set_targets(self, targets):
        pass


class Daemon:
    """The parts of one daemon that follow the platform."""

    def __init__(self, number, source=None, clock=None, bounds=BOUNDS):
        self.source = source or CountingSource(
            [make_target(n) for n in range(9)]
        )
        self.targets = self.source.targets
        self.own = self.targets[number]
        self.clock = clock or VirtualClock()
        events = EventLog('i', '1')
        self.role = ReadingRole(self.own.host, 'a', bounds, self.clock)
        self.role.set_targets(self.targets)
        self.feed = DeclarationFeed(
            self.source, self.clock, events, 5, self.role
        )
        self.evacuations = EvacuationTracker(self.clock, events)
        self.feed.on_update.append(self.evacuations.on_update)
        self.owner = Owner()
        self.target_feed = TargetFeed(
            self.source, Balancer(), self.owner, self.clock, events, self.role
        )
        self.watch = RegistryWatch(self.source, self.role, self.clock, events)
        self.datagrams = Datagrams()
        self.news = FleetNews(
            FleetNewsParts(
                address=self.own.address,
                role=self.role,
                declarations=self.feed,
                evacuations=self.evacuations,
                targets=self.target_feed,
                registry_watch=self.watch,
                datagrams=self.datagrams,
                clock=self.clock,
                events=events,
            )
        )
        self.datagrams.news = self.news


def find_daemon(*, reader):
    for number in range(9):
        daemon = Daemon(number)
        if daemon.role.is_reader is reader:
            return daemon
    raise AssertionError('no such daemon')


@pytest.fixture
async def member():
    """A daemon that is no reader and has read its declaration once."""
    daemon = find_daemon(reader=False)
    daemon.feed._apply(await daemon.source.read())
    return daemon


def reply_to(request, **more):
    fields = {
        'version': 7,
        'age': 0.5,
        'list_age': 0.4,
        'target': None,
        'is_unchanged': False,
        **more,
    }
    return NewsReply(number=request.number, **fields)


def test_daemon_that_is_asked_reads_for_a_while():
    daemon = find_daemon(reader=False)
    changes = []
    daemon.role.on_change.append(lambda: changes.append(daemon.role.is_reader))
    daemon.role.on_asked()
    assert daemon.role.is_reader
    assert changes == [True]
    daemon.clock.advance(2.6)
    assert not daemon.role.is_reader


def make_slow_reader(link_mbps=5.0):
    role = ReadingRole('10.0.0.1', 'a', BOUNDS, VirtualClock(), link_mbps)
    for host, rate in (('h1', 5.0), ('h2', 100.0), ('h3', 60.0), ('h4', 0.0)):
        role.on_asked(host, rate)
    return role


def test_slow_reader_chooses_the_asker_with_the_fastest_link_as_delegate():
    role = make_slow_reader()
    hosts = ('h1', 'h2', 'h3', 'h4', 'h5')
    assert [host for host in hosts if role.is_delegate(host)] == ['h2']
    role._clock.advance(2)
    role.on_asked('h3', 60.0)
    role._clock.advance(1)
    assert [host for host in hosts if role.is_delegate(host)] == ['h3']


@pytest.mark.parametrize('link_mbps', [0.0, 60.0, 1000.0])
def test_reader_on_a_fast_or_unknown_link_has_no_delegate(link_mbps):
    role = make_slow_reader(link_mbps)
    assert not any(role.is_delegate(f'h{number}') for number in range(5))


async def test_delegate_follows_declarations_and_hints_at_changes(
    member, nursery
):
    member.datagrams.answer = lambda host, request: reply_to(
        request, target=member.own, is_delegate=True
    )
    nursery.start_soon(member.news.run_hints)
    await member.news._ask_readers()
    assert member.role.follows_declarations
    assert not member.role.is_reader
    member.datagrams.sent.clear()
    member.source.revision = 8
    member.feed._apply(await member.source.read())
    await trio.testing.wait_all_tasks_blocked()
    hosts = sorted(member.role.hosts)
    assert member.datagrams.sent == [(host, NewsHint(8)) for host in hosts]
    member.clock.advance(2.6)
    assert not member.role.follows_declarations


async def test_slow_reader_tells_its_delegate(nursery):
    reader = find_daemon(reader=True)
    reader.role.link_mbps = 5.0
    await reader.watch._read_changes()
    for host, rate in (('h1', 5.0), ('h2', 100.0), ('h1', 5.0)):
        request = NewsRequest(5, reader.own.address, '', link_mbps=rate)
        await reader.news.on_message(host, request)
    replies = [body.is_delegate for _, body in reader.datagrams.sent]
    assert replies == [False, True, False]


async def test_spare_reader_replaces_silent_ones(member):
    *readers, spare, _ = member.role.readers
    member.datagrams.answer = lambda host, request: (
        None if host in readers else reply_to(request, target=member.own)
    )
    await member.news._ask_readers()
    asked = [host for host, _ in member.datagrams.sent]
    assert asked == [readers[0]] * 2 + [readers[1]] * 2 + [spare]
    assert member.target_feed._is_own_reported()
    await member.news._ask_readers()
    assert member.datagrams.sent[-1][0] == spare
    assert len(member.datagrams.sent) == 6


async def test_ages_count_from_the_question(member):
    def answer_late(host, request):
        member.clock.advance(1.2)
        return reply_to(request, target=member.own)

    member.datagrams.answer = answer_late
    await member.news._ask_readers()
    assert member.feed.age == pytest.approx(1.7)
    assert member.owner.target == member.own
    assert member.target_feed._is_own_reported()
    member.clock.advance(1.1)
    assert not member.target_feed._is_own_reported()


async def test_reply_to_an_earlier_question_is_ignored(member):
    late = []

    def lose_reply(host, request):
        late.append(reply_to(request))

    member.datagrams.answer = lose_reply
    await member.news._ask_readers()
    await member.news.on_message('10.0.0.1', late[0])
    assert member.feed.age == math.inf


@pytest.mark.parametrize('fields', [{'age': 2.7}, {'list_age': math.inf}])
async def test_next_reader_is_asked_if_the_first_is_silent_or_behind(
    member, fields
):
    first, second, *_ = member.role.readers

    def answer(host, request):
        more = fields if host == first else {}
        return reply_to(request, target=member.own, **more)

    member.datagrams.answer = answer
    await member.news._ask_readers()
    assert [host for host, _ in member.datagrams.sent] == [first, second]
    assert member.feed.age == pytest.approx(0.5)


async def test_older_version_of_a_reader_proves_nothing(member):
    member.datagrams.answer = lambda host, request: reply_to(request, version=6)
    await member.news._ask_readers()
    assert not member.feed.is_fresh()


async def test_newer_version_is_read_at_once_and_stale_until_then(
    member, nursery
):
    member.datagrams.answer = lambda host, request: reply_to(request, version=8)
    member.source.revision = 8
    nursery.start_soon(member.feed.run)
    await trio.testing.wait_all_tasks_blocked()
    await member.news._ask_readers()
    await trio.testing.wait_all_tasks_blocked()
    assert member.feed.version == 8


@pytest.mark.parametrize(('version', 'asks'), [(0, 1), (7, 1), (8, 0)])
async def test_hint_at_a_newer_version_needs_no_question(
    member, nursery, version, asks
):
    reported = []
    member.feed.on_reported = lambda *told: reported.append(told)
    nursery.start_soon(member.news.run)
    await trio.testing.wait_all_tasks_blocked()
    await member.news.on_message('h', NewsHint(version))
    await trio.testing.wait_all_tasks_blocked()
    assert [told[::2] for told in reported] == [(8, 'h')] * (1 - asks)
    assert bool(member.datagrams.sent) == bool(asks)


async def test_reader_tells_what_it_knows_and_hints_at_changes(nursery):
    reader = find_daemon(reader=True)
    await reader.watch._read_changes()
    reader.clock.advance(0.3)
    await reader.news.on_message('h', NewsRequest(5, reader.own.address, ''))
    (_, reply) = reader.datagrams.sent[-1]
    assert (reply.number, reply.target) == (5, reader.own)
    assert reply.list_age == pytest.approx(0.3)
    assert reader.owner.target == reader.own
    state = reader.own.state
    await reader.news.on_message('h', NewsRequest(6, reader.own.address, state))
    assert reader.datagrams.sent[-1][1].is_unchanged
    nursery.start_soon(reader.news.run_hints)
    await trio.testing.wait_all_tasks_blocked()
    reader.datagrams.sent.clear()
    leaving, unchanged = reader.targets[3:5]
    reader.source.changes = {
        leaving.name: make_target(3, draining=True),
        unchanged.name: unchanged,
    }
    await reader.watch._read_changes()
    await trio.testing.wait_all_tasks_blocked()
    assert reader.datagrams.sent == [(leaving.host, NewsHint())]


async def test_reader_tells_evacuated_zones_and_hints_at_changes(
    member, nursery
):
    reader = find_daemon(reader=True)
    nursery.start_soon(reader.news.run_hints)
    reader.source.evacuated = {'a': True, 'b': False}
    reader.evacuations.on_update(await reader.source.read())
    await trio.testing.wait_all_tasks_blocked()
    hosts = [one.host for one in reader.targets]
    assert reader.datagrams.sent == [(host, NewsHint()) for host in hosts]
    await reader.news.on_message('h', NewsRequest(5, reader.own.address, ''))
    (_, told) = reader.datagrams.sent[-1]
    reads = member.source.reads
    member.datagrams.answer = lambda host, request: reply_to(
        request, target=member.own, evacuations=told.evacuations
    )
    await member.news._ask_readers()
    assert member.evacuations.zones == {'a'}
    # another reader has not learned of it yet
    member.datagrams.answer = lambda host, request: reply_to(
        request,
        target=member.own,
        evacuations=Evacuations(revision=Revision(1, 6)),
    )
    await member.news._ask_readers()
    assert member.evacuations.zones == {'a'}
    assert member.source.reads == reads


async def test_target_that_a_reader_no_longer_lists_is_looked_up(member):
    member.datagrams.answer = lambda host, request: reply_to(
        request, target=member.own
    )
    await member.news._ask_readers()
    member.clock.advance(0.5)
    member.datagrams.answer = lambda host, request: reply_to(request)
    await member.news._ask_readers()
    assert member.owner.target == member.own
    assert not member.target_feed._is_own_reported()


async def test_target_in_a_lagging_list_is_accepted_only_after_a_report(member):
    listing = Listing(
        revision=Revision(1, 3), targets={member.own.name: member.own}
    )
    member.target_feed._apply_listing(listing, member.own.address)
    assert member.owner.target is None
    assert member.news._hint.is_set()
    leaving = replace(member.own, draining=True)
    member.datagrams.answer = lambda host, request: reply_to(
        request, target=leaving
    )
    await member.news._ask_readers()
    assert member.owner.target == leaving


async def test_older_process_of_a_reader_does_not_replace_a_newer_one(member):
    newer = replace(member.own, name='t99', started_ms=6)
    member.target_feed._apply_listing(
        Listing(revision=Revision(1, 3), targets={newer.name: newer}),
        newer.address,
    )
    member.datagrams.answer = lambda host, request: reply_to(
        request, target=member.own
    )
    await member.news._ask_readers()
    assert member.owner.target is None
    assert not member.target_feed._awaits_report()


async def test_member_reads_nothing_while_readers_prove_enough(
    member, nursery, autojump_clock
):
    member.datagrams.answer = lambda host, request: reply_to(
        request, target=member.own
    )
    await member.news._ask_readers()
    nursery.start_soon(member.feed.run)
    for _ in range(20):
        await trio.sleep(1)
        member.clock.advance(1)
        await member.news._ask_readers()
    assert member.source.reads == 1
    member.datagrams.answer = lambda host, request: None
    for _ in range(4):
        await trio.sleep(1)
        member.clock.advance(1)
    assert member.source.reads > 1


async def test_what_readers_told_is_proved_without_reading_it_again(
    nursery, autojump_clock
):
    daemon = find_daemon(reader=False)
    daemon.source.tells_evacuations = False
    shown_at = Revision(1, 90)
    daemon.datagrams.answer = lambda host, request: reply_to(
        request, target=daemon.own, revision=shown_at
    )
    nursery.start_soon(daemon.feed.run)
    await trio.testing.wait_all_tasks_blocked()
    await daemon.news._ask_readers()
    assert daemon.source.reads == 1
    daemon.clock.advance(2.7)
    await trio.sleep(3)
    assert daemon.source.waits == [(shown_at, PROOF_WATCH_SECONDS)]
    assert daemon.source.reads == 2
    assert daemon.feed.age < 0.1


@pytest.mark.parametrize('has_delegate', [True, False])
async def test_slow_reader_holds_no_watch_while_it_has_a_delegate(
    nursery, autojump_clock, has_delegate
):
    daemon = find_daemon(reader=True)
    daemon.role.link_mbps = 5.0
    daemon.role._is_chosen = True
    nursery.start_soon(daemon.feed.run)
    seconds = set()
    for _ in range(8):
        daemon.role.on_asked('h', 100.0 if has_delegate else 5.0)
        await trio.sleep(daemon.role.read_interval / 2)
        daemon.clock.advance(daemon.role.read_interval / 2)
        seconds.update(held for _, held in daemon.source.waits)
    held = PROOF_WATCH_SECONDS if has_delegate else daemon.role.read_interval
    assert seconds == {held}
    assert 3 <= len(daemon.source.waits) <= 5


async def test_version_that_cannot_be_proved_costs_no_more_calls(
    nursery, autojump_clock
):
    daemon = find_daemon(reader=True)
    daemon.source.tells_evacuations = False
    nursery.start_soon(daemon.feed.run)
    await trio.testing.wait_all_tasks_blocked()
    daemon.feed._settled_at = math.inf
    seconds = 12
    for _ in range(seconds * 10):
        await trio.sleep(0.1)
        daemon.clock.advance(0.1)
    assert daemon.feed.age > seconds - 1
    intervals = seconds / daemon.role.read_interval
    assert len(daemon.source.waits) <= 2 * intervals


class SharedSource(CountingSource):
    """A platform that many daemons watch."""

    def __init__(self, targets):
        super().__init__(targets)
        self.published = trio.Event()

    def publish(self):
        self.revision += 1
        self.published.set()
        self.published = trio.Event()

    async def wait(self, revision, seconds):
        self.reads += 1
        with trio.move_on_after(seconds):
            while revision.number == self.revision:
                await self.published.wait()
            update = await self.read()
            self.reads -= 1
            return update
        return DeclarationUpdate(revision=revision)

    async def wait_changes(self, revision, seconds):
        self.reads += 1
        await trio.sleep(seconds)
        return ListingChanges(revision=revision, targets={})

    async def read_target(self, name):
        self.reads += 1
        await trio.lowlevel.checkpoint()
        target = next(one for one in self.targets if one.name == name)
        return TargetUpdate(
            revision=Revision(1, 3), changed=True, target=target
        )

    async def wait_target(self, name, revision, seconds):
        self.reads += 1
        await trio.sleep(seconds)
        return TargetUpdate(revision=revision)


class Network:
    """Delivers datagrams between the daemons of a test at once."""

    def __init__(self, host, daemons):
        self.host = host
        self.daemons = daemons

    async def send(self, host, body):
        await self.daemons[host].news.on_message(self.host, body)


async def test_few_daemons_read_and_all_hear_of_changes_at_once(
    nursery, autojump_clock
):
    bounds = Bounds(config_seconds=2, drain_seconds=2)
    source = SharedSource([make_target(n) for n in range(3)])
    daemons = {}
    for number in range(3):
        daemon = Daemon(number, source=source, clock=TrioClock(), bounds=bounds)
        daemons[daemon.own.host] = daemon
    for host, daemon in daemons.items():
        daemon.datagrams.peers = Network(host, daemons)
        daemon.target_feed._apply_listing(
            await source.list_targets(may_lag=True), daemon.own.address
        )
        for task in (
            daemon.feed.run,
            daemon.watch.run,
            daemon.news.run,
            daemon.news.run_hints,
            daemon.target_feed.follow_own,
        ):
            nursery.start_soon(task)
    await trio.sleep(2)
    before = source.reads
    await trio.sleep(20)
    # two readers of three daemons, two calls for each read
    assert source.reads - before < 140
    source.publish()
    await trio.sleep(0.2)
    versions = [daemon.feed.version for daemon in daemons.values()]
    assert versions == [source.revision] * 3

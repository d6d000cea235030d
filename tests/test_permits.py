"""Permits never allow more ejections than the floor, whatever faults occur."""

import random
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from clementinedeal._borrowed_permit import BorrowedPermit, PermitReply
from clementinedeal._ejection import EjectionManager
from clementinedeal._freshness import FRESH_SECONDS
from clementinedeal._messages import Send, decode, encode
from clementinedeal._model import Config, Preset, PresetName, Service, Target
from clementinedeal._permit_messages import PermitAnswer, TargetReport
from clementinedeal._permits import (
    LEASE_MARGIN_SECONDS,
    LEASE_SECONDS,
    SETTLE_SECONDS,
    PermitHolder,
    holder_of,
)
from clementinedeal._target_health import OutcomeKind, RequestOutcome, Traffic
from clementinedeal._target_state import EJECTED_STATES

DAEMON_COUNT = 6
# Time between two checks of the simulated fleet.
ROUND_SECONDS = 0.25
# Longest time for which a lease counts, with two rounds of tolerance.
LEASE_END_SECONDS = LEASE_SECONDS + LEASE_MARGIN_SECONDS + 2 * ROUND_SECONDS
# Age from which a version limits the ejections in the whole fleet.
SETTLED_SECONDS = 2 * FRESH_SECONDS + LEASE_END_SECONDS
FAILED_OUTCOME = RequestOutcome(OutcomeKind.ERROR, 0.0)
OK_OUTCOME = RequestOutcome(OutcomeKind.OK, 0.0)
# From the publication of a version until a daemon applies it.
CONFIG_DELAYS_SECONDS = (0.25, 1.0, 3.0, 9.0, 40.0)
# Delays of messages by the mode of the network.
MESSAGE_DELAYS_SECONDS = {
    'good': (0.0,),
    'late': (0.0, 4.5),
    'slow': (0.0, 0.5, 2.0, 4.5, 9.0),
}

daemons = st.integers(0, DAEMON_COUNT - 1)
floors = st.integers(3, DAEMON_COUNT)


def make_config(version: int, floor: int, numbers: frozenset[int]) -> Config:
    return Config(
        version=version,
        preset=PresetName.ORDINARY,
        presets={PresetName.ORDINARY: Preset(name=PresetName.ORDINARY)},
        services={'s': Service(name='s', floor=floor)},
        targets={
            f't{n}': Target(
                name=f't{n}', service='s', instance=f'i{n}', address=''
            )
            for n in sorted(numbers)
        },
        routes=(),
        accounts={},
        instances={},
    )


@dataclass
class Version:
    """A published configuration and when it was replaced."""

    cfg: Config
    published: float
    superseded: float = float('inf')

    def is_fresh(self, now: float) -> bool:
        return now - self.superseded <= FRESH_SECONDS

    @property
    def allowed(self) -> int:
        return max(0, len(self.cfg.targets) - self.cfg.floor('s'))


@dataclass
class Daemon:
    """One daemon; its clock is ``offset`` seconds ahead of the model's."""

    version: Version
    manager: EjectionManager
    offset: float
    alive: bool = True
    paused_at: float | None = None
    # time from which it applies the newest version
    learns_at: float = 0.0
    absent: frozenset[str] = frozenset()
    # targets that it knows to be stopped or leaving, and since when
    absent_since: dict[str, float] = field(default_factory=dict)

    @property
    def running(self) -> bool:
        return self.alive and self.paused_at is None


class Fleet(RuleBasedStateMachine):
    """Faults, pauses and new versions in any order.

    Each round checks that no more targets are ejected than the floor allows.
    """

    @initialize(seed=st.integers(0, 2**16), floor=floors)
    def start(self, seed: int, floor: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.mode = 'good'
        self.lossy = False
        self.cuts: set[tuple[int, int]] = set()
        self.faulty: set[int] = set()
        self.leaving: set[int] = set()
        self.in_transit: list[tuple[float, int, int, bytes]] = []
        self.last_incarnation = 0
        cfg = make_config(1, floor, frozenset(range(DAEMON_COUNT)))
        self.versions = [Version(cfg, self.now - SETTLED_SECONDS)]
        self.fleet = [self.boot(number) for number in range(DAEMON_COUNT)]
        self.make_faulty(frozenset((0, 1, 2)))
        self.advance(30.0)

    def boot(self, number: int) -> Daemon:
        self.last_incarnation += 1
        offset = self.rng.choice((0.0, 1000.0, -50.0))
        usable = [
            candidate
            for candidate in self.versions
            if candidate.is_fresh(self.now)
        ]
        version = self.rng.choice(usable)
        manager = EjectionManager(
            f'i{number}',
            version.cfg,
            self.now + offset,
            incarnation=self.last_incarnation,
        )
        return Daemon(version, manager, offset)

    @rule(floor=floors, numbers=st.frozensets(daemons, min_size=4))
    def publish(self, floor: int, numbers: frozenset[int]) -> None:
        self.versions[-1].superseded = self.now
        cfg = make_config(len(self.versions) + 1, floor, numbers)
        self.versions.append(Version(cfg, self.now))
        for daemon in self.fleet:
            daemon.learns_at = self.now + self.rng.choice(CONFIG_DELAYS_SECONDS)

    @rule(floor=floors)
    def change_floor(self, floor: int) -> None:
        targets = self.versions[-1].cfg.targets
        self.publish(floor, frozenset(int(name[1:]) for name in targets))

    @rule(floor=floors)
    def change_floor_when_settled(self, floor: int) -> None:
        self.settle()
        self.change_floor(floor)
        self.advance(12.0)

    def apply_newest_version(self, daemon: Daemon) -> None:
        if daemon.version is not self.versions[-1]:
            daemon.version = self.versions[-1]
            daemon.manager.on_config(daemon.version.cfg, self.clock(daemon))

    @rule(number=daemons)
    def kill(self, number: int) -> None:
        self.fleet[number].alive = False

    @rule(number=daemons)
    def restart(self, number: int) -> None:
        self.fleet[number] = self.boot(number)
        self.leaving.discard(number)

    @rule(number=daemons)
    def pause(self, number: int) -> None:
        if self.fleet[number].running:
            self.fleet[number].paused_at = self.now

    @rule(number=daemons)
    def wake(self, number: int) -> None:
        daemon = self.fleet[number]
        if daemon.alive and daemon.paused_at is not None:
            gap = self.now - daemon.paused_at
            daemon.paused_at = None
            self.deliver()
            daemon.manager.on_pause(gap, self.clock(daemon))

    @rule(pair=st.tuples(daemons, daemons))
    def cut(self, pair: tuple[int, int]) -> None:
        self.cuts.symmetric_difference_update({pair})

    @rule(number=daemons)
    def cut_sender(self, number: int) -> None:
        self.cuts |= {(number, other) for other in range(DAEMON_COUNT)}

    @rule()
    def lose_renewals_while_answers_are_late(self) -> None:
        self.settle()
        self.change_network('late', lossy=False)
        self.advance(5.0)
        for name in sorted(self.ejected())[:1]:
            self.cut_sender(int(name[1:]))
        self.advance(12.0)

    @rule(
        mode=st.sampled_from(sorted(MESSAGE_DELAYS_SECONDS)),
        lossy=st.booleans(),
    )
    def change_network(self, mode: str, lossy: bool) -> None:
        self.mode, self.lossy = mode, lossy

    @rule()
    def heal(self) -> None:
        self.cuts.clear()

    @rule(numbers=st.frozensets(daemons, min_size=1, max_size=3))
    def make_faulty(self, numbers: frozenset[int]) -> None:
        self.faulty = set(numbers)

    @rule(number=daemons)
    def leave(self, number: int) -> None:
        daemon = self.fleet[number]
        if daemon.running:
            self.leaving.add(number)
            clock = self.clock(daemon)
            self.post(number, daemon.manager.on_leaving(f't{number}', clock))

    @rule(number=daemons)
    def update_absent(self, number: int) -> None:
        daemon = self.fleet[number]
        if daemon.running:
            absent = {n for n in range(DAEMON_COUNT) if not self.fleet[n].alive}
            names = frozenset(f't{n}' for n in absent | self.leaving)
            daemon.absent_since = {
                name: daemon.absent_since.get(name, self.now) for name in names
            }
            daemon.manager.set_absent(names, self.clock(daemon))

    @rule()
    def update_absent_everywhere(self) -> None:
        for number in range(DAEMON_COUNT):
            self.update_absent(number)

    @rule()
    def settle(self) -> None:
        self.change_network('good', lossy=False)
        self.heal()
        for number in range(DAEMON_COUNT):
            self.wake(number)
            if not self.fleet[number].alive:
                self.restart(number)
        self.update_absent_everywhere()
        self.advance(33.0)

    @rule(seconds=st.sampled_from((0.25, 1.0, 2.0, 5.0, 7.0, 12.0, 27.0)))
    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds / ROUND_SECONDS)):
            self.now += ROUND_SECONDS
            self.deliver()
            for number, daemon in enumerate(self.fleet):
                if daemon.running:
                    self.run(number, daemon)
            self.check()

    def run(self, number: int, daemon: Daemon) -> None:
        clock = self.clock(daemon)
        if daemon.learns_at <= self.now:
            self.apply_newest_version(daemon)
        daemon.manager.set_fresh(daemon.version.is_fresh(self.now), clock)
        self.post(number, daemon.manager.on_tick(clock))
        outcome = FAILED_OUTCOME if number in self.faulty else OK_OUTCOME
        for _ in range(8 if number in self.faulty else 3):
            actions = daemon.manager.on_outcome(f't{number}', outcome, clock)
            self.post(number, actions)

    def clock(self, daemon: Daemon) -> float:
        return self.now + daemon.offset

    def post(self, sender: int, actions: list) -> None:
        for action in actions:
            if not isinstance(action, Send):
                continue
            number = int(action.to[1:])
            copies = 1
            if self.lossy:
                copies = self.rng.choice((0, 1, 2))
            for _ in range(copies):
                due = self.now + self.rng.choice(
                    MESSAGE_DELAYS_SECONDS[self.mode]
                )
                blob = encode((action.body,))
                self.in_transit.append((due, sender, number, blob))

    def deliver(self) -> None:
        while True:
            due = [
                message
                for message in self.in_transit
                if message[0] <= self.now
                and self.fleet[message[2]].paused_at is None
            ]
            if not due:
                return
            self.in_transit = [
                message for message in self.in_transit if message not in due
            ]
            self.rng.shuffle(due)
            for _, sender, number, blob in due:
                daemon = self.fleet[number]
                if not daemon.alive or (sender, number) in self.cuts:
                    continue
                clock = self.clock(daemon)
                for body in decode(blob):
                    actions = daemon.manager.on_message(
                        f'i{sender}', body, clock
                    )
                    self.post(number, actions)

    def ejected(self) -> set[str]:
        return {
            f't{number}'
            for number, daemon in enumerate(self.fleet)
            if daemon.running
            and f't{number}' in daemon.version.cfg.targets
            and daemon.manager.state(f't{number}') in EJECTED_STATES
        }

    def check(self) -> None:
        ejected = self.ejected()
        running = [daemon for daemon in self.fleet if daemon.running]
        in_force = [
            daemon.version
            for daemon in running
            if daemon.version.is_fresh(self.now)
        ]
        for version in (*in_force, self.versions[-1]):
            if self.now - version.published < SETTLED_SECONDS:
                continue
            out = ejected & set(version.cfg.targets)
            assert len(out) <= version.allowed, (out, version)
        self.check_absent(ejected, running)

    def check_absent(self, ejected: set[str], running: list[Daemon]) -> None:
        newest = self.versions[-1]
        if self.now - newest.published < SETTLED_SECONDS:
            return
        absent_everywhere = set(newest.cfg.targets)
        for daemon in running:
            absent_everywhere &= {
                name
                for name, since in daemon.absent_since.items()
                if self.now - since >= LEASE_END_SECONDS
            }
        out = ejected & set(newest.cfg.targets)
        if out:
            assert len(out | absent_everywhere) <= newest.allowed, (
                out,
                absent_everywhere,
                newest,
            )


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=30, stateful_step_count=30)


def grant(sent_at: float, *, granted: bool = True) -> PermitAnswer:
    return PermitAnswer('t0', 1, sent_at, granted, None)


def test_a_lease_runs_from_the_sending_time_of_its_report() -> None:
    permit = BorrowedPermit(1, 0.0)
    permit.on_report(wants=True, now=10.0)
    assert permit.on_answer(grant(10.0), 14.5) is PermitReply.GRANTED
    assert permit.is_held(10.0 + LEASE_SECONDS - 0.01)
    assert not permit.is_held(10.0 + LEASE_SECONDS)


def test_late_answers_and_those_to_another_incarnation_grant_nothing() -> None:
    permit = BorrowedPermit(1, 0.0)
    permit.on_report(wants=True, now=10.0)
    assert permit.on_answer(grant(10.0), 15.0) is PermitReply.BASELINE
    assert permit.on_answer(grant(9.0), 10.1) is PermitReply.VOID
    permit.on_report(wants=False, now=16.0)
    assert permit.on_answer(grant(10.0), 10.2) is PermitReply.VOID
    other = BorrowedPermit(2, 0.0)
    other.on_report(wants=True, now=10.0)
    assert other.on_answer(grant(10.0), 10.1) is PermitReply.VOID


class Lender:
    """A permit holder, and reports of owners that request permits from it."""

    def __init__(self, floor: int) -> None:
        cfg = make_config(1, floor, frozenset(range(DAEMON_COUNT)))
        self.holder = PermitHolder('s', holder_of(cfg, 's') or '', cfg, 0.0)
        self.holder.set_fresh(True, 0.0)

    def report(
        self,
        number: int,
        now: float,
        *,
        sent_at: float = 0.0,
        wants: bool = True,
    ) -> bool:
        body = TargetReport(
            target=f't{number}',
            incarnation=1,
            sent_at=sent_at or now,
            wants=wants,
            compares=True,
            leaving=False,
            traffic=Traffic(),
        )
        (send,) = self.holder.on_message(f'i{number}', body, now)
        return send.body.granted

    def tick_and_report(self, number: int, now: float) -> bool:
        self.holder.on_tick(now)
        return self.report(number, now)

    def change(self, floor: int, now: float) -> None:
        cfg = make_config(2, floor, frozenset(range(DAEMON_COUNT)))
        self.holder.on_config(cfg, now)


def test_a_new_holder_waits_before_it_lends() -> None:
    lender = Lender(DAEMON_COUNT - 1)
    assert not lender.tick_and_report(1, SETTLE_SECONDS - 0.1)
    assert lender.tick_and_report(1, SETTLE_SECONDS)


def test_a_lower_limit_applies_at_once_and_a_higher_one_later() -> None:
    lender = Lender(DAEMON_COUNT - 1)
    now = SETTLE_SECONDS
    assert lender.tick_and_report(1, now)
    lender.change(DAEMON_COUNT - 2, now)
    assert not lender.tick_and_report(2, now + 1)
    for second in range(int(SETTLE_SECONDS)):
        assert lender.tick_and_report(1, now + 1 + second)
    now += SETTLE_SECONDS + 0.1
    assert lender.tick_and_report(2, now)
    lender.change(DAEMON_COUNT - 1, now)
    assert not lender.tick_and_report(1, now + 0.1)
    assert lender.tick_and_report(2, now + 0.2)


def test_a_holder_that_was_not_ticked_lends_nothing() -> None:
    lender = Lender(DAEMON_COUNT - 1)
    lender.holder.on_tick(SETTLE_SECONDS)
    assert not lender.report(1, SETTLE_SECONDS + 1)
    assert lender.tick_and_report(1, SETTLE_SECONDS + 1.1)


def test_a_report_from_another_instance_than_the_owner_is_not_granted() -> None:
    lender = Lender(DAEMON_COUNT - 1)
    now = SETTLE_SECONDS
    lender.holder.on_tick(now)
    foreign = TargetReport('t1', 1, now, True, True, True, Traffic())
    (refusal,) = lender.holder.on_message('i2', foreign, now)
    assert not refusal.body.granted
    assert lender.report(2, now)


def test_a_late_report_does_not_return_a_newer_permit() -> None:
    lender = Lender(DAEMON_COUNT - 1)
    now = SETTLE_SECONDS
    assert lender.tick_and_report(1, now)
    lender.report(1, now, sent_at=now - 0.05, wants=False)
    assert lender.holder.lent_targets(now) == {'t1'}
    assert not lender.report(2, now)
    lender.report(1, now, sent_at=now + 0.1, wants=False)
    assert lender.report(2, now)

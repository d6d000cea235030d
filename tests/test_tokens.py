"""Checks rate and burst of an account over a fleet with faults.

The fleet runs in virtual time; a checker compares what it admitted with what
the published versions allow.
"""

import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from clementinedeal._freshness import FRESH_SECONDS
from clementinedeal._leases import LEASE_TTL_SECONDS
from clementinedeal._model import (
    Account,
    Config,
    Instance,
    Preset,
    PresetName,
    Service,
    Target,
)
from clementinedeal._share_versions import (
    GROW_WAIT_SECONDS,
    PAUSE_MARGIN_SECONDS,
)
from clementinedeal._shares import ShareTable
from clementinedeal_bench._token_fleet import Link, TokenFleet, TokenOutcome

NAMES = tuple(f'i{index}' for index in range(5))
OLD_VERSION_SECONDS = FRESH_SECONDS + LEASE_TTL_SECONDS + PAUSE_MARGIN_SECONDS
LINKS = (
    Link(),
    Link(loss_fraction=0.2, duplicate_fraction=0.5, max_jitter_seconds=0.3),
    Link(max_jitter_seconds=3),
)
# Tolerance for rounding of the admitted amount.
ROUNDING_TOKENS = 0.001
NAME_SETS = st.sets(st.sampled_from(NAMES), min_size=1)


def instance(name: str) -> Instance:
    zone = f'z{int(name[1:]) % 3}'
    return Instance(
        name=name,
        zone=zone,
        region='r',
        caller='',
        peer='',
        control='',
        operator='',
    )


def config(version: int, rate: float, burst: float, owners: str) -> Config:
    """Return a version with one account and one service.

    :param version: version number.
    :param rate: of the account, in requests per second.
    :param burst: of the account, in requests.
    :param owners: digits of the instances that have a target.
    """
    targets = {
        digit: Target(name=digit, service='s', instance=f'i{digit}', address='')
        for digit in owners
    }
    account = Account(
        name='a', key_digests=(), rate=rate, burst=burst, services=('s',)
    )
    return Config(
        version=version,
        preset=PresetName.ORDINARY,
        presets={PresetName.ORDINARY: Preset(name=PresetName.ORDINARY)},
        services={'s': Service(name='s', floor=0)},
        targets=targets,
        routes=(),
        accounts={'a': account},
        instances={name: instance(name) for name in NAMES},
    )


class RateChecker:
    """Checks admitted <= burst + rate * length for every interval.

    Of several versions, the highest burst and rate count. A superseded version
    counts until no daemon that uses it can be fresh and no lease granted under
    it can be valid.
    """

    def __init__(self, fleet: TokenFleet) -> None:
        self.fleet = fleet
        self.checked_count = 0
        self.admitted: list[float] = []

    def allowed(self, start: float, end: float) -> float:
        """Return how many requests may be admitted in this interval."""
        total = max(burst for _, burst in self.valid(start, start))
        edges = {start, end}
        for publication in self.fleet.versions:
            for edge in (
                publication.published_at,
                publication.published_at + OLD_VERSION_SECONDS,
            ):
                edges.add(min(max(edge, start), end))
        points = sorted(edges)
        for left, right in zip(points, points[1:], strict=False):
            middle = (left + right) / 2
            rate = max(rate for rate, _ in self.valid(middle, middle))
            total += rate * (right - left)
        return total

    def valid(self, start: float, end: float) -> list[tuple[float, float]]:
        """Return rate and burst of each version that counts in that time."""
        limits = []
        versions = self.fleet.versions
        ends = [
            version.published_at + OLD_VERSION_SECONDS
            for version in versions[1:]
        ] + [math.inf]
        for publication, until in zip(versions, ends, strict=True):
            if publication.published_at <= end and start <= until:
                account = publication.cfg.accounts['a']
                limits.append((account.rate, account.burst))
        return limits

    def check(self) -> None:
        new_outcomes = self.fleet.outcomes[self.checked_count :]
        self.checked_count = len(self.fleet.outcomes)
        times = [
            outcome.answered_at for outcome in new_outcomes if outcome.admitted
        ]
        self.admitted.extend(times)
        for end in dict.fromkeys(times):
            count = len([at for at in self.admitted if at <= end])
            starts = dict.fromkeys(self.admitted[:count])
            for start in starts:
                first = self.admitted.index(start)
                allowed = self.allowed(start, end) + ROUNDING_TOKENS
                assert count - first <= allowed, (start, end, count - first)


class FaultyFleet(RuleBasedStateMachine):
    """Five daemons under random faults; floods reveal any excess token."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = TokenFleet(config(1, 60, 40, '34'), seed=1)
        self.checker = RateChecker(self.fleet)
        self.count = 0

    @rule()
    def flood(self) -> None:
        for _ in range(2):
            self.requests(set(NAMES), 15)
        self.checker.check()

    @rule(names=NAME_SETS, count=st.sampled_from((1, 4, 8)))
    def requests(self, names: set[str], count: int) -> None:
        for name in sorted(names):
            for _ in range(count):
                self.count += 1
                self.fleet.take(name, str(self.count), 'a')
        self.fleet.run(0.1)

    @rule(seconds=st.sampled_from((0.2, 1, 1.8, 5)))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(seconds=st.sampled_from((9, 30)))
    def wait_long(self, seconds: float) -> None:
        self.fleet.run(seconds, step_seconds=0.25)

    @rule(link=st.sampled_from(LINKS))
    def change_link(self, link: Link) -> None:
        self.fleet.link = link

    @rule(sender=st.sampled_from(NAMES), to=st.sampled_from(NAMES))
    def toggle_cut(self, sender: str, to: str) -> None:
        self.fleet.cut_links ^= {(sender, to)}

    @rule(back=st.integers(0, 20))
    def replay(self, back: int) -> None:
        for delivery in self.fleet.sent_messages[-1 - back : -back or None]:
            self.fleet.replay(delivery)

    @rule(name=st.sampled_from(NAMES), behind=st.integers(0, 1))
    def replace_daemon(self, name: str, behind: int) -> None:
        index = max(0, len(self.fleet.versions) - 1 - behind)
        age = self.fleet.now - self.fleet.versions[index].published_at
        self.fleet.start(name, behind, known_for=age)

    @rule(name=st.sampled_from(NAMES), gap=st.sampled_from((0.6, 1.1, 2.5, 20)))
    def pause(self, name: str, gap: float) -> None:
        self.fleet.daemons[name].paused_until = self.fleet.now + gap

    @rule(name=st.sampled_from(NAMES))
    def stop(self, name: str) -> None:
        self.fleet.stop(name)

    @rule(
        rate=st.sampled_from((4, 60)),
        burst=st.sampled_from((10, 40)),
        owners=st.sampled_from(('34', '12')),
        reached=NAME_SETS,
    )
    def publish(
        self, rate: float, burst: float, owners: str, reached: set[str]
    ) -> None:
        version = len(self.fleet.versions) + 1
        self.fleet.publish(config(version, rate, burst, owners))
        self.apply_newest_version(reached)

    @rule(names=NAME_SETS)
    def apply_newest_version(self, names: set[str]) -> None:
        for name in sorted(names):
            self.fleet.apply_newest_version(name)

    def teardown(self) -> None:
        self.flood()


TestFaultyFleet = FaultyFleet.TestCase
TestFaultyFleet.settings = settings(max_examples=150, stateful_step_count=30)


def flood(fleet: TokenFleet) -> None:
    """Send far more requests than the burst to all daemons, and check."""
    checker = RateChecker(fleet)
    for index in range(30):
        for name in NAMES:
            fleet.take(name, f'flood-{index}', 'a')
    fleet.run(0.1)
    assert fleet.outcomes
    checker.check()


def borrow(fleet: TokenFleet, *names: str) -> None:
    """Send requests so that the named daemons have unspent leases."""
    for index in range(8 * len(names)):
        fleet.take(names[index % len(names)], f'borrow-{index}', 'a')
    fleet.run(0.1)


def publish_to(fleet: TokenFleet, cfg: Config, *names: str) -> None:
    """Publish a version that only the named daemons apply."""
    fleet.publish(cfg)
    for name in names:
        fleet.apply_newest_version(name)


def test_new_holders_wait_for_leases_of_their_predecessors() -> None:
    fleet = TokenFleet(config(1, 60, 40, '34'), seed=1)
    borrow(fleet, 'i0', 'i1', 'i2')
    fleet.start('i3', 0, known_for=100)
    fleet.start('i4', 0, known_for=100)
    fleet.run(1)
    flood(fleet)


@pytest.mark.parametrize('seconds', [0.02, 1.5, 3])
def test_borrowers_drop_leases_before_holders_count_them_free(
    seconds: float,
) -> None:
    fleet = TokenFleet(config(1, 60, 40, '34'), seed=1)
    fleet.link = Link(duplicate_fraction=1, max_jitter_seconds=0.02)
    borrow(fleet, 'i0', 'i1', 'i2')
    fleet.run(seconds)
    flood(fleet)


def test_new_holders_wait_for_old_holders_without_the_new_version() -> None:
    fleet = TokenFleet(config(1, 60, 40, '34'), seed=1)
    publish_to(fleet, config(2, 60, 40, '12'), 'i0', 'i1', 'i2')
    fleet.run(5)
    flood(fleet)


def test_a_restart_during_a_change_waits_for_the_older_version() -> None:
    fleet = TokenFleet(config(1, 60, 40, '34'), seed=1)
    fleet.publish(config(2, 60, 40, '12'))
    fleet.start('i1', 0, known_for=0)
    fleet.start('i2', 0, known_for=0)
    fleet.run(5)
    flood(fleet)


def test_holders_that_skipped_a_version_wait_for_its_holders() -> None:
    fleet = TokenFleet(config(1, 60, 40, '34'), seed=1)
    publish_to(fleet, config(2, 60, 40, '12'), 'i1', 'i2')
    fleet.run(9)
    publish_to(fleet, config(3, 60, 40, '34'), 'i3', 'i4')
    fleet.run(5.5)
    borrow(fleet, 'i1', 'i2')
    fleet.run(1)
    flood(fleet)


def test_a_new_account_whose_first_version_was_skipped_waits() -> None:
    fleet = TokenFleet(config(1, 0, 0, '34'), seed=1)
    publish_to(fleet, config(2, 60, 40, '12'), 'i1', 'i2')
    fleet.run(5)
    publish_to(fleet, config(3, 60, 40, '34'), 'i3', 'i4')
    fleet.run(3)
    flood(fleet)


def test_holders_that_missed_a_version_return_without_a_share() -> None:
    fleet = TokenFleet(config(1, 60, 40, '34'), seed=1)
    publish_to(fleet, config(2, 60, 40, '12'), 'i0', 'i1', 'i2')
    fleet.run(80)
    publish_to(fleet, config(3, 60, 40, '34'), 'i3', 'i4')
    fleet.run(3)
    flood(fleet)


def test_a_grant_to_an_earlier_process_admits_nothing() -> None:
    fleet = TokenFleet(config(1, 60, 40, '34'), seed=1)
    borrow(fleet, 'i0')
    fleet.outcomes.clear()
    old = tuple(fleet.sent_messages)
    fleet.run(3)
    fleet.start('i0', 0, known_for=100)
    fleet.cut_links = {('i0', 'i3'), ('i0', 'i4')}
    fleet.take('i0', 'again', 'a')
    for delivery in old:
        fleet.replay(delivery)
    assert fleet.outcomes == []


def outcomes(
    fleet: TokenFleet, seconds: float, rate: float, names: tuple[str, ...]
) -> list[TokenOutcome]:
    """Send requests at an even rate, to each named instance in turn."""
    for index in range(int(seconds * rate)):
        fleet.take(names[index % len(names)], f'{seconds}-{index}', 'a')
        fleet.run(1 / rate, step_seconds=1 / rate / math.ceil(20 / rate))
    fleet.run(0.4)
    return fleet.outcomes


def test_without_faults_an_account_within_its_rate_is_never_refused() -> None:
    for rate, burst in ((3, 20), (100, 100)):
        fleet = TokenFleet(config(1, rate, burst, '01234'), seed=1)
        for number in range(int(burst)):
            fleet.take(NAMES[number % 5], f'burst-{number}', 'a')
        fleet.run(0.4)
        answers = outcomes(fleet, 20, rate, NAMES)
        assert len(answers) == int(20 * rate + burst)
        assert [outcome for outcome in answers if not outcome.admitted] == []


def test_one_dead_holder_of_five_still_admits_half_the_rate() -> None:
    fleet = TokenFleet(config(1, 50, 50, '01234'), seed=1)
    fleet.daemons['i0'].is_running = False
    answers = outcomes(fleet, 20, 25, NAMES[1:])
    assert all(outcome.admitted for outcome in answers)


def test_a_higher_rate_with_the_same_holders_is_in_force_at_once() -> None:
    fleet = TokenFleet(config(1, 4, 4, '01234'), seed=1)
    fleet.run(10)
    fleet.publish(config(2, 8, 8, '01234'))
    for name in NAMES:
        fleet.apply_newest_version(name)
    assert all(outcome.admitted for outcome in outcomes(fleet, 5, 8, NAMES))


def test_shares_add_up_to_what_is_published() -> None:
    cfg = config(1, 33.3, 7.7, '01234')
    shares = ShareTable(cfg).find('a').shares
    assert sum(share.rate for share in shares) == 33_300_000
    assert sum(share.burst for share in shares) == 7_700_000
    assert len(shares) == 4


def test_a_grown_share_waits_for_the_slowest_old_version() -> None:
    before, after = config(1, 6, 6, '012'), config(2, 6, 6, '34')
    fleet = TokenFleet(before, seed=1)
    fleet.publish(after)
    for name in NAMES:
        fleet.apply_newest_version(name)
    waited = GROW_WAIT_SECONDS - 1
    fleet.run(waited, step_seconds=0.25)
    assert not any(
        outcome.admitted for outcome in outcomes(fleet, 0.5, 2, NAMES)
    )
    fleet.run(2, step_seconds=0.25)
    assert outcomes(fleet, 1, 2, NAMES)[-1].admitted

"""What the fleet grants an account while daemons do not know its use."""

import itertools
import random

import pytest
import trio
import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.trio_clock import TrioClock
from trio.testing import MockClock

from clementinedeal._events import EventLog
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._rate_limiter import AccountRateLimiter
from clementinedeal.mesh._settings import Bounds
from clementinedeal.mesh._types import ClientAccount, Declaration

BOUNDS = Bounds(allowance_over=0.25, allowance_slack=20)
WINDOW = 5.0
# Restarted daemons read the list and the declaration after this long.
START_SECONDS = 0.3


def make_account(rate, burst):
    return ClientAccount(
        name='shop', keys=('k',), priority=1, rate=rate, burst=burst
    )


class Fleet:
    """Limiters of one account, with disruptions; records when it granted.

    ``down`` and ``cut`` are the hosts that are dark or reach nobody;
    ``deaf`` ones get no datagram from the home. ``refused`` counts refusals
    at the others.
    """

    def __init__(self, count, account):
        self.account = account
        self.hosts = [f'10.0.0.{number}' for number in range(count)]
        self.lists = {host: frozenset(self.hosts) for host in self.hosts}
        self.limiters = {}
        self.down, self.cut, self.deaf = set(), set(), set()
        self.versions = itertools.count(1)
        self.catalog = None
        self.granted_at = []
        self.refused = 0
        self.rng = random.Random(5)

    async def send(self, sender, host, body):
        if {sender, host} & (self.cut | self.down):
            return
        if sender == self.home and host in self.deaf:
            return
        await self.limiters[host].on_message(sender, body)

    def start(self, host):
        fleet = self

        class Channel:
            async def send(self, receiver, body):
                await fleet.send(host, receiver, body)

        self.limiters[host] = AccountRateLimiter(
            host,
            lambda: self.lists[host],
            Channel(),
            TrioClock(),
            EventLog(host, '1'),
            BOUNDS,
        )

    def declare(self):
        declaration = Declaration(
            version=next(self.versions),
            routes=(),
            services=frozenset(),
            accounts=(self.account,),
        )
        self.catalog = Catalog(declaration)
        for host in self.hosts:
            self.limiters[host].set_catalog(self.catalog)

    async def restart(self, host, seconds, knows_declaration=True):
        """Let a daemon be dark, then start it again without its state."""
        self.down.add(host)
        await trio.sleep(seconds)
        self.start(host)
        if knows_declaration:
            self.limiters[host].set_catalog(self.catalog)
        self.down.discard(host)

    async def cut_off(self, hosts, seconds):
        self.cut |= hosts
        await trio.sleep(seconds)
        self.cut -= hosts

    async def storm(self, seconds):
        with trio.move_on_after(seconds):
            while True:
                self.declare()
                await trio.sleep(0.33)

    async def move(self, lag):
        """Drop the home from the lists; one half of the daemons lags."""
        home = self.home
        listed = frozenset(self.hosts) - {home}
        late = self.hosts[::2]
        for host in self.hosts:
            if host not in late:
                self.lists[host] = listed
        await trio.sleep(lag)
        for host in late:
            self.lists[host] = listed

    @property
    def home(self):
        """The host that counts the account by the first list."""
        return max(
            self.hosts,
            key=lambda host: xxhash.xxh64_intdigest(f'shop/{host}'.encode()),
        )

    async def ask(self, per_second, seconds):
        """Draw at random daemons that serve, as Poisson arrivals."""
        ends = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends:
                await trio.sleep(self.rng.expovariate(per_second))
                serving = [one for one in self.hosts if one not in self.down]
                if serving:
                    nursery.start_soon(self._draw, self.rng.choice(serving))

    async def _draw(self, host):
        pause = await self.limiters[host].take(self.account, 'r')
        if pause:
            self.refused += host not in self.cut
        else:
            self.granted_at.append(trio.current_time())

    def most_in_a_window(self):
        times = sorted(self.granted_at)
        return max(
            sum(begin <= at < begin + WINDOW for at in times[index:])
            for index, begin in enumerate(times)
        )

    @property
    def allowed(self):
        rate, burst = self.account.rate, self.account.burst
        return (rate * WINDOW + burst) * 1.25 + 20


def play(disrupt, *, count=12, rate=11, burst=11, per_second=80, warm=8):
    """Ask the fleet while ``disrupt`` runs; return the fleet."""
    fleet = Fleet(count, make_account(rate, burst))

    async def run():
        for host in fleet.hosts:
            fleet.start(host)
        fleet.declare()
        await trio.sleep(warm)
        for host in fleet.hosts:
            getattr(fleet.limiters[host], 'update_hosts', list)()
        await trio.sleep(warm)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, per_second, 10)
            await trio.sleep(1)
            nursery.start_soon(disrupt, fleet)

    trio.run(run, clock=MockClock(autojump_threshold=0))
    return fleet


async def restart_home(fleet):
    await fleet.restart(fleet.home, START_SECONDS)


async def restart_home_twice(fleet):
    await fleet.restart(fleet.home, START_SECONDS)
    await trio.sleep(1.5)
    await fleet.restart(fleet.home, START_SECONDS)


async def home_without_declaration(fleet):
    await fleet.restart(fleet.home, START_SECONDS, knows_declaration=False)


async def dark_home_in_a_storm(fleet):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.storm, 4)
        nursery.start_soon(fleet.restart, fleet.home, 3.5)


async def cut_third_in_a_storm(fleet):
    others = [host for host in fleet.hosts if host != fleet.home]
    hosts = {fleet.home, *others[: len(fleet.hosts) // 3 - 1]}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.storm, 4)
        nursery.start_soon(fleet.cut_off, hosts, 5)


async def restart_half(fleet):
    hosts = {fleet.home, *fleet.hosts[::2]}
    async with trio.open_nursery() as nursery:
        for host in hosts:
            nursery.start_soon(fleet.restart, host, 2)


async def slow_home(fleet):
    """Let all replies of the home be late for one half, then the other."""
    for offset in range(4):
        fleet.deaf = set(fleet.hosts[offset % 2 :: 2]) - {fleet.home}
        await trio.sleep(1.2)
    fleet.deaf = set()


async def move_home(fleet):
    await fleet.move(0)


async def move_home_with_differing_lists(fleet):
    await fleet.move(1)


async def calm(fleet):
    await trio.lowlevel.checkpoint()


DISRUPTIONS = (
    restart_home,
    restart_home_twice,
    home_without_declaration,
    dark_home_in_a_storm,
    cut_third_in_a_storm,
    restart_half,
    slow_home,
    move_home,
    move_home_with_differing_lists,
    calm,
)


# Three restarts of an account's counters in a window are within the tolerance.
SHORT_DISRUPTIONS = (
    restart_home,
    home_without_declaration,
    move_home_with_differing_lists,
    cut_third_in_a_storm,
)


@pytest.mark.parametrize('count', [4, 27])
@pytest.mark.parametrize('disrupt', DISRUPTIONS)
def test_no_disruption_grants_an_account_more_than_tolerated(disrupt, count):
    fleet = play(disrupt, count=count)
    assert fleet.most_in_a_window() <= fleet.allowed


@pytest.mark.parametrize('disrupt', DISRUPTIONS)
def test_an_account_below_its_rate_is_hardly_refused(disrupt):
    fleet = play(disrupt, count=27, per_second=7)
    asked = fleet.refused + len(fleet.granted_at)
    assert fleet.refused <= 0.15 * asked


@settings(max_examples=12)
@given(
    st.sampled_from([(4, 4), (4, 20), (11, 11), (40, 40)]),
    st.integers(3, 30),
    st.sampled_from(DISRUPTIONS),
    st.sampled_from(SHORT_DISRUPTIONS),
    st.floats(0, 3),
)
def test_no_two_disruptions_grant_more_than_tolerated(
    limits, count, first, second, gap
):
    async def disrupt(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first, fleet)
            await trio.sleep(gap)
            nursery.start_soon(second, fleet)

    fleet = play(
        disrupt,
        count=count,
        rate=limits[0],
        burst=limits[1],
        per_second=6 * limits[0],
    )
    assert fleet.most_in_a_window() <= fleet.allowed

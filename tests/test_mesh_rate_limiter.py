"""Rate limits of client accounts, counted by home daemons."""

import random

from clementinedeal._events import EventLog
from clementinedeal._timers import VirtualClock
from clementinedeal.mesh._account_ranking import rank_hosts
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._rate_limiter import AccountRateLimiter
from clementinedeal.mesh._settings import Bounds
from clementinedeal.mesh._token_bucket import TokenBucket
from clementinedeal.mesh._types import ClientAccount, Declaration

ACCOUNT = ClientAccount(
    name='shop',
    keys=('k',),
    priority=1,
    rate=10,
    burst=20,
)


# Bounds without and with a tolerance above the rate of an account.
EXACT = Bounds()
TOLERANT = Bounds(allowance_over=0.25, allowance_slack=20)


class Network:
    """Delivers datagrams at once, or drops them.

    ``unreachable`` holds the hosts without a connection, ``loss_fraction`` is
    the probability that a datagram is dropped.
    """

    def __init__(self):
        self.limiters = {}
        self.unreachable = set()
        self.loss_fraction = 0.0
        self.rng = random.Random(7)

    def channel(self, sender):
        network = self

        class Channel:
            async def send(self, host, body):
                if host in network.unreachable or sender in network.unreachable:
                    return
                if network.rng.random() < network.loss_fraction:
                    return
                await network.limiters[host].on_message(sender, body)

        return Channel()


def make_limiters(count=5, account=ACCOUNT, bounds=EXACT):
    """Return a network with a limiter at each host, its clock and its hosts."""
    network = Network()
    clock = VirtualClock()
    hosts = tuple(f'10.0.0.{number}' for number in range(count))
    catalog = Catalog(
        Declaration(
            version=1,
            routes=(),
            services=(),
            accounts=(account,),
        ),
    )
    for host in hosts:
        limiter = AccountRateLimiter(
            host,
            lambda: hosts,
            network.channel(host),
            clock,
            EventLog(host, '1'),
            bounds,
        )
        limiter.set_catalog(catalog)
        limiter.update_hosts()
        network.limiters[host] = limiter
    # a daemon that has been up for a window knows what it has granted
    clock.advance(bounds.allowance_window)
    return network, clock, hosts


async def demand(network, clock, hosts, rate, seconds, account=ACCOUNT):
    """Take a token at a random limiter ``rate`` times per second.

    Return how many tokens were granted.
    """
    rng = random.Random(3)
    granted = 0
    for _ in range(int(rate * seconds)):
        clock.advance(1 / rate)
        limiter = network.limiters[rng.choice(hosts)]
        granted += await limiter.take(account, 'r') == 0
    return granted


async def test_all_requests_within_the_rate_are_granted():
    network, clock, hosts = make_limiters()
    assert await demand(network, clock, hosts, 8, 20) == 160


async def test_no_more_than_burst_and_rate_is_granted():
    network, clock, hosts = make_limiters()
    granted = await demand(network, clock, hosts, 80, 5)
    assert granted <= 10 * 5 + 20
    assert granted >= 0.9 * (10 * 5 + 20)


async def test_a_silent_home_is_replaced_by_its_deputy(autojump_clock):
    network, clock, hosts = make_limiters()
    network.unreachable.add(rank_hosts('shop', hosts)[0])
    others = [host for host in hosts if host not in network.unreachable]
    granted = await demand(network, clock, others, 80, 5)
    assert 0 < granted <= 10 * 5 + 20


async def test_a_lost_datagram_is_sent_again(autojump_clock):
    network, clock, hosts = make_limiters()
    network.loss_fraction = 0.05
    granted = await demand(network, clock, hosts, 8, 20)
    assert granted >= 0.97 * 160


async def test_a_refusal_has_a_retry_after():
    network, clock, hosts = make_limiters()
    limiter = network.limiters[hosts[0]]
    pauses = [await limiter.take(ACCOUNT, 'r') for _ in range(30)]
    assert pauses[0] == 0
    assert 0 < pauses[-1] <= 2


async def test_an_account_without_a_rate_has_no_limit():
    free = ClientAccount(name='shop', keys=(), priority=1, rate=0, burst=0)
    network, _, hosts = make_limiters(account=free)
    pauses = [
        await network.limiters[hosts[0]].take(free, 'r') for _ in range(99)
    ]
    assert not any(pauses)


def test_a_lower_rate_applies_at_once():
    bucket = TokenBucket(10, 20, 0.0, 20)
    bucket.set_limits(1, 2)
    granted = sum(bucket.take(0.0) == 0 for _ in range(10))
    assert granted == 2


def test_a_lost_instance_moves_only_its_own_accounts():
    hosts = [f'10.0.0.{number}' for number in range(20)]
    names = [f'a{number}' for number in range(200)]
    moved = [
        name
        for name in names
        if rank_hosts(name, hosts)[0] != rank_hosts(name, hosts[1:])[0]
    ]
    assert all(rank_hosts(name, hosts)[0] == hosts[0] for name in moved)


async def test_a_home_grants_only_part_of_the_tolerance():
    network, clock, hosts = make_limiters(bounds=TOLERANT)
    granted = await demand(network, clock, hosts, 80, 5)
    exact = 10 * 5 + 20
    assert exact < granted < exact * 1.25 + 20 - 10

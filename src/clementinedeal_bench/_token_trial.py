"""Compares ways to share an account's rate over a fleet, in virtual time.

Run as a module; prints one JSON line for each case and way. Traffic is cut to
what one exact bucket over the fleet would admit, so every refusal is wrongful.
"""

import enum
import itertools
import json
import statistics
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from random import Random
from typing import Protocol

from clementinedeal._model import Config
from clementinedeal._tokens import TokenManager
from clementinedeal_bench._token_config import ACCOUNT, configuration
from clementinedeal_bench._token_fleet import STEP_SECONDS, TokenFleet

SEEDS = tuple(range(1, 31))
RUN_SECONDS = 20.0
BURST_EVERY_SECONDS = 10.0
BURST_DIVISOR = 4
DRAWS = 40
DEAD_HOLDERS = (0, 1)
LOADS = (0.4, 0.8, 1.0)


class Routing(enum.Enum):
    """Which owner a request reaches."""

    ANY = 'any owner'
    HOLDER = 'holder first'


class Way(enum.Enum):
    """How rate and burst are shared."""

    CHOSEN = 'holders'
    STATIC = 'static share per daemon'
    SINGLE = 'one holder'


@dataclass(frozen=True, slots=True)
class Case:
    """One account and how its requests come."""

    rate: float
    burst: float
    daemons: int
    load: float
    dead: int
    routing: str


@dataclass(frozen=True, slots=True)
class Tally:
    """Counts of one run."""

    requests: int
    refused: int
    messages: int
    size: int


class Fleet(Protocol):
    """One way to share tokens over daemons."""

    def take(self, name: str, req_id: str) -> None:
        """Ask for a token at a daemon."""
        ...

    def step(self) -> None:
        """Let one step of time pass."""
        ...

    def tally(self, requests: int) -> Tally:
        """Return what became of all requests."""
        ...


class Bucket:
    """An exact token bucket."""

    def __init__(self, rate: float, burst: float) -> None:
        """Start full.

        :param rate: tokens per second.
        :param burst: most tokens.
        """
        self._rate = rate
        self._burst = burst
        self._level = burst

    def take(self) -> bool:
        """Take one token if there is one."""
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def step(self) -> None:
        """Refill for one step of time."""
        made = self._rate * STEP_SECONDS
        self._level = min(self._burst, self._level + made)


class BucketFleet:
    """Baselines: buckets at some daemons, asked by the others."""

    def __init__(self, case: Case, holders: list[str], dead: list[str]) -> None:
        """Split rate and burst evenly over the holders.

        :param case: the account.
        :param holders: daemons with a bucket.
        :param dead: those that do not answer.
        """
        count = len(holders)
        self._dead = set(dead)
        self._buckets = {
            name: Bucket(case.rate / count, case.burst / count)
            for name in holders
        }
        self._refused = 0
        self._messages = 0

    def take(self, name: str, req_id: str) -> None:
        """Take from the daemon's own bucket or else from the only one."""
        holder = name
        if name not in self._buckets:
            holder = next(iter(self._buckets))
            self._messages += 2
        if holder in self._dead or not self._buckets[holder].take():
            self._refused += 1

    def step(self) -> None:
        """Let one step of time pass."""
        for bucket in self._buckets.values():
            bucket.step()

    def tally(self, requests: int) -> Tally:
        """Return what became of all requests."""
        return Tally(requests, self._refused, self._messages, 0)


class HolderFleet:
    """The chosen way: token managers over a network with 1 ms latency."""

    def __init__(self, cfg: Config, seed: int, dead: list[str]) -> None:
        """Start all daemons with full shares, then kill some.

        :param cfg: the configuration.
        :param seed: of the network.
        :param dead: daemons that stop answering.
        """
        self._fleet = TokenFleet(cfg, seed)
        for name in dead:
            self._fleet.nodes[name].runs = False

    def take(self, name: str, req_id: str) -> None:
        """Ask the daemon's manager for a token."""
        self._fleet.take(name, req_id, ACCOUNT)

    def step(self) -> None:
        """Let one step of time pass."""
        self._fleet.run(STEP_SECONDS)

    def tally(self, requests: int) -> Tally:
        """Return what became of all requests."""
        self._fleet.run(1)
        admitted = sum(each.admitted for each in self._fleet.outcomes)
        return Tally(
            requests,
            requests - admitted,
            len(self._fleet.history),
            self._fleet.bytes_sent,
        )


def arrivals(case: Case, rng: Random) -> Iterator[int]:
    """Yield how many conforming requests come in each step.

    :param case: the account and its load, as a share of its rate, of which
        a part comes in sudden bursts.
    :param rng: random source.
    """
    exact = Bucket(case.rate, case.burst)
    sudden = int(case.burst / BURST_DIVISOR)
    even = case.rate * case.load - sudden / BURST_EVERY_SECONDS
    mean = even * STEP_SECONDS
    chance = STEP_SECONDS / BURST_EVERY_SECONDS
    for _ in range(int(RUN_SECONDS / STEP_SECONDS)):
        exact.step()
        wanted = sum(rng.random() < mean / DRAWS for _ in range(DRAWS))
        if rng.random() < chance:
            wanted += sudden
        yield sum(exact.take() for _ in range(wanted))


def run(case: Case, way: Way, seed: int) -> Tally:
    """Run one case one way.

    :param case: the account and its traffic.
    :param way: how tokens are shared.
    :param seed: of traffic and network.
    """
    cfg = configuration(case.rate, case.burst, case.daemons)
    manager = TokenManager('', cfg, 0, incarnation=1)
    holders = list(manager.holders(ACCOUNT))
    dead = holders[: case.dead]
    asked = list(cfg.instances)
    if case.routing == Routing.HOLDER.value:
        asked = holders
    fleet = make_fleet(case, way, seed, cfg, dead)
    return drive(
        case, fleet, [name for name in asked if name not in dead], seed
    )


def drive(case: Case, fleet: Fleet, asked: list[str], seed: int) -> Tally:
    """Send a run's requests.

    :param case: the account and its traffic.
    :param fleet: the daemons.
    :param asked: the owners that requests reach.
    :param seed: of the traffic.
    """
    rng = Random(seed)
    total = 0
    for count in arrivals(case, rng):
        for _ in range(count):
            total += 1
            fleet.take(rng.choice(asked), str(total))
        fleet.step()
    return fleet.tally(total)


def make_fleet(
    case: Case,
    way: Way,
    seed: int,
    cfg: Config,
    dead: list[str],
) -> Fleet:
    """Build the daemons of one run; arguments as in ``run``."""
    if way is Way.CHOSEN:
        return HolderFleet(cfg, seed, dead)
    names = list(cfg.instances)
    if way is Way.SINGLE:
        return BucketFleet(case, (dead or names)[:1], dead)
    return BucketFleet(case, names, dead)


def cases() -> Iterator[Case]:
    """Yield all cases: a small and a large account, with and without fault."""
    sizes = ((3, 20, 12), (200, 200, 24))
    for size, load, dead, routing in itertools.product(
        sizes, LOADS, DEAD_HOLDERS, Routing
    ):
        yield Case(*size, load, dead, routing.value)


def summary(case: Case, way: Way) -> str:
    """Run all seeds of a case and return its JSON line."""
    tallies = [run(case, way, seed) for seed in SEEDS]
    requests = sum(tally.requests for tally in tallies)
    shares = [tally.refused / tally.requests for tally in tallies]
    messages = sum(tally.messages for tally in tallies)
    return json.dumps(
        asdict(case)
        | {
            'way': way.value,
            'seeds': [SEEDS[0], SEEDS[-1]],
            'requests': requests,
            'refused_share': round(statistics.mean(shares), 5),
            'refused_share_worst_seed': round(max(shares), 5),
            'messages_per_request': round(messages / requests, 3),
            'bytes_per_request': round(
                sum(tally.size for tally in tallies) / requests, 1
            ),
        },
    )


def main() -> None:
    """Print all cases."""
    for case in cases():
        for way in Way:
            print(summary(case, way), flush=True)  # noqa: WPS421


if __name__ == '__main__':
    main()

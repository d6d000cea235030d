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
from clementinedeal_bench._token_config import ACCOUNT_NAME, make_config
from clementinedeal_bench._token_fleet import STEP_SECONDS, TokenFleet

SEEDS = tuple(range(1, 31))
RUN_SECONDS = 20.0
MEAN_BURST_INTERVAL_SECONDS = 10.0
BURST_DIVISOR = 4
DRAWS_PER_STEP = 40
DEAD_HOLDER_COUNTS = (0, 1)
LOAD_FRACTIONS = (0.4, 0.8, 1.0)


class Routing(enum.Enum):
    """Which owner a request reaches."""

    ANY = 'any owner'
    HOLDER = 'holder first'


class SharingScheme(enum.Enum):
    """How rate and burst are shared."""

    HOLDERS = 'holders'
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
class RunCounts:
    """Counts of one run."""

    requests: int
    refused: int
    messages: int
    sent_bytes: int


class SimulatedFleet(Protocol):
    """One way to share tokens over daemons."""

    def take(self, name: str, req_id: str) -> None:
        """Ask for a token at a daemon."""
        ...

    def step(self) -> None:
        """Let one step of time pass."""
        ...

    def count_results(self, requests: int) -> RunCounts:
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
        self._tokens = burst

    def take(self) -> bool:
        """Take one token if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def step(self) -> None:
        """Refill for one step of time."""
        refill = self._rate * STEP_SECONDS
        self._tokens = min(self._burst, self._tokens + refill)


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

    def count_results(self, requests: int) -> RunCounts:
        """Return what became of all requests."""
        return RunCounts(requests, self._refused, self._messages, 0)


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
            self._fleet.daemons[name].is_running = False

    def take(self, name: str, req_id: str) -> None:
        """Ask the daemon's manager for a token."""
        self._fleet.take(name, req_id, ACCOUNT_NAME)

    def step(self) -> None:
        """Let one step of time pass."""
        self._fleet.run(STEP_SECONDS)

    def count_results(self, requests: int) -> RunCounts:
        """Return what became of all requests."""
        self._fleet.run(1)
        admitted = sum(each.admitted for each in self._fleet.outcomes)
        return RunCounts(
            requests,
            requests - admitted,
            len(self._fleet.sent_messages),
            self._fleet.sent_bytes,
        )


def conforming_arrivals(case: Case, rng: Random) -> Iterator[int]:
    """Yield how many conforming requests come in each step.

    :param case: the account and its load, as a share of its rate, of which
        a part comes in sudden bursts.
    :param rng: random source.
    """
    exact_bucket = Bucket(case.rate, case.burst)
    burst_requests = int(case.burst / BURST_DIVISOR)
    even_rate = (
        case.rate * case.load - burst_requests / MEAN_BURST_INTERVAL_SECONDS
    )
    mean_per_step = even_rate * STEP_SECONDS
    burst_probability = STEP_SECONDS / MEAN_BURST_INTERVAL_SECONDS
    for _ in range(int(RUN_SECONDS / STEP_SECONDS)):
        exact_bucket.step()
        offered = sum(
            rng.random() < mean_per_step / DRAWS_PER_STEP
            for _ in range(DRAWS_PER_STEP)
        )
        if rng.random() < burst_probability:
            offered += burst_requests
        yield sum(exact_bucket.take() for _ in range(offered))


def run_case(case: Case, scheme: SharingScheme, seed: int) -> RunCounts:
    """Run one case one way.

    :param case: the account and its traffic.
    :param way: how tokens are shared.
    :param seed: of traffic and network.
    """
    cfg = make_config(case.rate, case.burst, case.daemons)
    manager = TokenManager('', cfg, 0, incarnation=1)
    holders = list(manager.holders(ACCOUNT_NAME))
    dead = holders[: case.dead]
    owners = list(cfg.instances)
    if case.routing == Routing.HOLDER.value:
        owners = holders
    fleet = make_fleet(case, scheme, seed, cfg, dead)
    return send_requests(
        case, fleet, [name for name in owners if name not in dead], seed
    )


def send_requests(
    case: Case, fleet: SimulatedFleet, owners: list[str], seed: int
) -> RunCounts:
    """Send a run's requests.

    :param case: the account and its traffic.
    :param fleet: the daemons.
    :param asked: the owners that requests reach.
    :param seed: of the traffic.
    """
    rng = Random(seed)
    request_count = 0
    for count in conforming_arrivals(case, rng):
        for _ in range(count):
            request_count += 1
            fleet.take(rng.choice(owners), str(request_count))
        fleet.step()
    return fleet.count_results(request_count)


def make_fleet(
    case: Case,
    scheme: SharingScheme,
    seed: int,
    cfg: Config,
    dead: list[str],
) -> SimulatedFleet:
    """Build the daemons of one run; arguments as in ``run``."""
    if scheme is SharingScheme.HOLDERS:
        return HolderFleet(cfg, seed, dead)
    names = list(cfg.instances)
    if scheme is SharingScheme.SINGLE:
        return BucketFleet(case, (dead or names)[:1], dead)
    return BucketFleet(case, names, dead)


def all_cases() -> Iterator[Case]:
    """Yield all cases: a small and a large account, with and without fault."""
    sizes = ((3, 20, 12), (200, 200, 24))
    for size, load, dead, routing in itertools.product(
        sizes, LOAD_FRACTIONS, DEAD_HOLDER_COUNTS, Routing
    ):
        yield Case(*size, load, dead, routing.value)


def summarize_case(case: Case, scheme: SharingScheme) -> str:
    """Run all seeds of a case and return its JSON line."""
    results = [run_case(case, scheme, seed) for seed in SEEDS]
    requests = sum(run_counts.requests for run_counts in results)
    refused_fractions = [
        run_counts.refused / run_counts.requests for run_counts in results
    ]
    messages = sum(run_counts.messages for run_counts in results)
    return json.dumps(
        asdict(case)
        | {
            'way': scheme.value,
            'seeds': [SEEDS[0], SEEDS[-1]],
            'requests': requests,
            'refused_share': round(statistics.mean(refused_fractions), 5),
            'refused_share_worst_seed': round(max(refused_fractions), 5),
            'messages_per_request': round(messages / requests, 3),
            'bytes_per_request': round(
                sum(run_counts.sent_bytes for run_counts in results) / requests,
                1,
            ),
        },
    )


def main() -> None:
    """Print all cases."""
    for case in all_cases():
        for scheme in SharingScheme:
            print(summarize_case(case, scheme), flush=True)  # noqa: WPS421


if __name__ == '__main__':
    main()

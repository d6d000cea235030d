"""Compares schemes that share an account's rate over a fleet.

Run as ``python -m clementinedeal_bench._token_trial``; prints one JSON line for
each case and scheme. Time is virtual. Traffic is limited to what one exact
token bucket for the whole fleet admits, so every refusal is wrongful.
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
# A sudden burst has as many requests as the account's burst divided by this.
BURST_DIVISOR = 4
DRAWS_PER_STEP = 40  # binomial trials for the arrivals of one time step
DEAD_HOLDER_COUNTS = (0, 1)
LOAD_FRACTIONS = (0.4, 0.8, 1.0)  # of the account's rate


class Routing(enum.Enum):
    """Which daemons receive the requests.

    ``ANY`` are all daemons, ``HOLDER`` only the account's holders.
    """

    ANY = 'any owner'
    HOLDER = 'holder first'


class SharingScheme(enum.Enum):
    """How rate and burst of an account are shared.

    With ``HOLDERS``, the scheme of the product, some daemons hold shares and
    lend tokens to the others. With ``STATIC`` each daemon has an equal part of
    the rate for its own use, with ``SINGLE`` one daemon has all of it.
    """

    HOLDERS = 'holders'
    STATIC = 'static share per daemon'
    SINGLE = 'one holder'


@dataclass(frozen=True, slots=True)
class Case:
    """One account and its traffic; the fields are keys of the printed line.

    :param rate: rate of the account, in requests per second.
    :param burst: burst of the account, in requests.
    :param daemons: number of daemons.
    :param load: mean traffic, as a fraction of the rate.
    :param dead: number of holders that do not answer.
    :param routing: a value of ``Routing``.
    """

    rate: float
    burst: float
    daemons: int
    load: float
    dead: int
    routing: str


@dataclass(frozen=True, slots=True)
class RunCounts:
    """Counts of one run.

    :param requests: requests sent.
    :param refused: requests that were not admitted.
    :param messages: messages between daemons.
    :param sent_bytes: bytes of these messages, 0 for the baseline schemes.
    """

    requests: int
    refused: int
    messages: int
    sent_bytes: int


class SimulatedFleet(Protocol):
    """Daemons that share an account's tokens by one of the schemes."""

    def take(self, name: str, req_id: str) -> None:
        """Take a token for a request at a daemon.

        :param name: instance name of the daemon.
        :param req_id: request id.
        """
        ...

    def step(self) -> None:
        """Advance the time by ``STEP_SECONDS``."""
        ...

    def count_results(self, requests: int) -> RunCounts:
        """Return the counts of the run.

        :param requests: number of requests sent.
        """
        ...


class ExactTokenBucket:
    """A token bucket that is refilled once in each time step."""

    def __init__(self, rate: float, burst: float) -> None:
        """Create a full bucket.

        :param rate: tokens per second.
        :param burst: maximum number of tokens.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst

    def take(self) -> bool:
        """Take one token; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def step(self) -> None:
        """Add the tokens of one time step."""
        refill = self._rate * STEP_SECONDS
        self._tokens = min(self._burst, self._tokens + refill)


class BucketFleet:
    """The baseline schemes: a token bucket at one daemon or at each."""

    def __init__(self, case: Case, holders: list[str], dead: list[str]) -> None:
        """Split rate and burst evenly over the holders.

        :param case: the account.
        :param holders: instance names of the daemons with a bucket.
        :param dead: instance names of the daemons that do not answer.
        """
        count = len(holders)
        self._dead = set(dead)
        self._buckets = {
            name: ExactTokenBucket(case.rate / count, case.burst / count)
            for name in holders
        }
        self._refused = 0
        self._messages = 0

    def take(self, name: str, req_id: str) -> None:
        """Take from the daemon's bucket, or from the only one if it has none.

        A take from the bucket of another daemon counts as two messages, the
        request and the answer.
        """
        holder = name
        if name not in self._buckets:
            holder = next(iter(self._buckets))
            self._messages += 2
        if holder in self._dead or not self._buckets[holder].take():
            self._refused += 1

    def step(self) -> None:
        """Advance the time by ``STEP_SECONDS``."""
        for bucket in self._buckets.values():
            bucket.step()

    def count_results(self, requests: int) -> RunCounts:
        """Return the counts of the run.

        :param requests: number of requests sent.
        """
        return RunCounts(requests, self._refused, self._messages, 0)


class HolderFleet:
    """The product's scheme: token managers whose messages take 1 ms."""

    def __init__(self, cfg: Config, seed: int, dead: list[str]) -> None:
        """Start all daemons, run until the shares are in use, then kill some.

        :param cfg: the configuration.
        :param seed: seed of the network's random choices.
        :param dead: instance names of the daemons to kill.
        """
        self._fleet = TokenFleet(cfg, seed)
        for name in dead:
            self._fleet.daemons[name].is_running = False

    def take(self, name: str, req_id: str) -> None:
        """Take a token for a request from the daemon's token manager."""
        self._fleet.take(name, req_id, ACCOUNT_NAME)

    def step(self) -> None:
        """Advance the time by ``STEP_SECONDS``."""
        self._fleet.run(STEP_SECONDS)

    def count_results(self, requests: int) -> RunCounts:
        """Return the counts of the run.

        :param requests: number of requests sent.
        """
        self._fleet.run(1)  # until the last requests are answered
        admitted = sum(outcome.admitted for outcome in self._fleet.outcomes)
        return RunCounts(
            requests,
            requests - admitted,
            len(self._fleet.sent_messages),
            self._fleet.sent_bytes,
        )


def conforming_arrivals(case: Case, rng: Random) -> Iterator[int]:
    """Yield the number of requests that arrive in each time step.

    Requests beyond what an exact token bucket admits are left out. Some of the
    load arrives in sudden bursts, at random times.

    :param case: the account and its load.
    :param rng: source of the random choices.
    """
    exact_bucket = ExactTokenBucket(case.rate, case.burst)
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
    """Run one case with one scheme and one seed.

    :param case: the account and its traffic.
    :param scheme: how tokens are shared.
    :param seed: seed of the traffic and of the network.
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
    """Send the requests of one run and return its counts.

    :param case: the account and its traffic.
    :param fleet: the daemons.
    :param owners: instance names of the daemons that receive requests.
    :param seed: seed of the traffic.
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
    """Return the daemons of one run.

    :param case: the account and its traffic.
    :param scheme: how tokens are shared.
    :param seed: seed of the network.
    :param cfg: the configuration.
    :param dead: instance names of the holders that do not answer.
    """
    if scheme is SharingScheme.HOLDERS:
        return HolderFleet(cfg, seed, dead)
    names = list(cfg.instances)
    if scheme is SharingScheme.SINGLE:
        return BucketFleet(case, (dead or names)[:1], dead)
    return BucketFleet(case, names, dead)


def all_cases() -> Iterator[Case]:
    """Yield the cases: small and large accounts, with and without a fault."""
    # rate, burst and number of daemons
    sizes = ((3, 20, 12), (200, 200, 24))
    for size, load, dead, routing in itertools.product(
        sizes, LOAD_FRACTIONS, DEAD_HOLDER_COUNTS, Routing
    ):
        yield Case(*size, load, dead, routing.value)


def summarize_case(case: Case, scheme: SharingScheme) -> str:
    """Run a case with all seeds and return its JSON line.

    :param case: the account and its traffic.
    :param scheme: how tokens are shared.
    """
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
    """Run all cases with all schemes and print their lines."""
    for case in all_cases():
        for scheme in SharingScheme:
            print(summarize_case(case, scheme), flush=True)  # noqa: WPS421


if __name__ == '__main__':
    main()

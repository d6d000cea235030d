"""One measured cost of a role, and the functions that measure costs."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from clementinedeal import Config
from clementinedeal_bench._large_config import large_config

ROUNDS = 5
CALLS_PER_ROUND = 2000
MICROS_PER_SECOND = 1_000_000
# The last number is that of the deployment for which the product is designed.
ACCOUNT_COUNTS = (6_000, 12_000, 24_000)
INSTANCE_COUNTS = (160, 325, 650)


@dataclass(frozen=True, slots=True)
class CostMeasurement:
    """One cost of one role at one size.

    The fields are the keys of the printed JSON line.

    :param role: role of the daemon that has the cost, such as entry or owner,
        or the component that is measured.
    :param figure: what was measured.
    :param size: number of accounts, instances, entries, slots or bytes; 1 for
        a cost that has no size.
    :param amount: the cost, in ``unit``.
    :param unit: ``us``, ``s`` or ``B`` (bytes).
    """

    role: str
    figure: str
    size: int
    amount: float
    unit: str


def measure_micros_per_call(call: Callable[[int], Any]) -> float:
    """Return the processor time of one call in microseconds.

    It is the lowest mean of ``ROUNDS`` rounds of ``CALLS_PER_ROUND`` calls.

    :param call: the function to measure; takes the number of the call, from 0.
    """
    least_seconds = float('inf')
    for round_number in range(ROUNDS):
        started_at = time.process_time()
        for number in range(CALLS_PER_ROUND):
            call(round_number * CALLS_PER_ROUND + number)
        least_seconds = min(least_seconds, time.process_time() - started_at)
    return least_seconds / CALLS_PER_ROUND * MICROS_PER_SECOND


def measure_held_bytes(make_value: Callable[[], Any]) -> tuple[int, Any]:
    """Return the bytes that a new value holds in memory, and the value.

    ``tracemalloc`` counts the bytes.

    :param make_value: creates the value.
    """
    gc.collect()
    tracemalloc.start()
    made_value = make_value()
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes, made_value


def sized_config(accounts: int, instances: int = 650) -> Config:
    """Return a configuration with given numbers of accounts and instances.

    The number of routes is that of the deployment for which the product is
    designed.

    :param accounts: number of accounts.
    :param instances: number of instances; the number of targets is
        proportional to it.
    """
    return large_config(
        accounts=accounts,
        routes=3_700,
        targets=instances * 5_400 // 650,
        instances=instances,
    )

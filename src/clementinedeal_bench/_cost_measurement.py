"""One measured figure of a role, and how figures are taken."""

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
ACCOUNT_SIZES = (6_000, 12_000, 24_000)
INSTANCE_SIZES = (160, 325, 650)


@dataclass(frozen=True, slots=True)
class CostMeasurement:
    """One figure of one role at one size."""

    role: str
    figure: str
    size: int
    amount: float
    unit: str


def measure_micros_per_call(call: Callable[[int], Any]) -> float:
    """Return the processor time of one call in microseconds, least of five.

    :param call: is given the number of the call.
    """
    least_seconds = float('inf')
    for round_number in range(ROUNDS):
        started_at = time.process_time()
        for number in range(CALLS_PER_ROUND):
            call(round_number * CALLS_PER_ROUND + number)
        least_seconds = min(least_seconds, time.process_time() - started_at)
    return least_seconds / CALLS_PER_ROUND * MICROS_PER_SECOND


def measure_held_bytes(make_value: Callable[[], Any]) -> tuple[int, Any]:
    """Return the memory that a value holds and the value.

    :param make: makes it.
    """
    gc.collect()
    tracemalloc.start()
    made_value = make_value()
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes, made_value


def sized_config(accounts: int, instances: int = 650) -> Config:
    """Return a configuration of the design size with fewer accounts.

    :param accounts: number of accounts.
    :param instances: number of instances; targets follow.
    """
    return large_config(
        accounts=accounts,
        routes=3_700,
        targets=instances * 5_400 // 650,
        instances=instances,
    )

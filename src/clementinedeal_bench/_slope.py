"""One measured figure of a role, and how figures are taken."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from clementinedeal import Config
from clementinedeal_bench._large import large_config

ROUNDS = 5
CALLS = 2000
MICROS = 1_000_000
ACCOUNT_SIZES = (6_000, 12_000, 24_000)
INSTANCE_SIZES = (160, 325, 650)


@dataclass(frozen=True, slots=True)
class Slope:
    """One figure of one role at one size."""

    role: str
    figure: str
    size: int
    amount: float
    unit: str


def micros_per_call(call: Callable[[int], Any]) -> float:
    """Return the processor time of one call in microseconds, least of five.

    :param call: is given the number of the call.
    """
    best = float('inf')
    for turn in range(ROUNDS):
        started = time.process_time()
        for number in range(CALLS):
            call(turn * CALLS + number)
        best = min(best, time.process_time() - started)
    return best / CALLS * MICROS


def bytes_of(make: Callable[[], Any]) -> tuple[int, Any]:
    """Return the memory that a value holds and the value.

    :param make: makes it.
    """
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held, made


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

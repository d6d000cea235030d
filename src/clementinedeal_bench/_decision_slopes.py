"""Measures the cost of decisions about requests, at several sizes.

Each public function yields the costs of one role of a daemon. Sizes are numbers
of accounts, instances or entries of a table; times are in microseconds of
processor time.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

from clementinedeal import Config
from clementinedeal._access import Access
from clementinedeal._ejection import EjectionManager
from clementinedeal._envelope import Forward, Keyring
from clementinedeal._executions import ExecutionTable
from clementinedeal._http import RequestHead
from clementinedeal._idempotency import IdempotencyManager
from clementinedeal._routing import Router
from clementinedeal._target_health import OutcomeKind, RequestOutcome
from clementinedeal._target_queue import TargetQueue
from clementinedeal._tokens import TokenManager
from clementinedeal_bench._cost_measurement import (
    ACCOUNT_COUNTS,
    CALLS_PER_ROUND,
    INSTANCE_COUNTS,
    ROUNDS,
    CostMeasurement,
    measure_held_bytes,
    measure_micros_per_call,
    sized_config,
)

WARM_UP_SECONDS = 100.0  # virtual time after which a holder uses its share
TICKS_PER_SECOND = 20
REQUESTS_PER_SECOND = 13  # at one target


def measure_entry() -> Iterator[CostMeasurement]:
    """Measure the access check and the choice of targets of one request.

    The entry, the daemon that took the caller's request, decides both.
    """
    for accounts in ACCOUNT_COUNTS:
        yield from _measure_access_check(accounts)
    for instances in INSTANCE_COUNTS:
        yield from _measure_target_order(instances)


def measure_tokens() -> Iterator[CostMeasurement]:
    """Measure a token holder: its memory, one take and one tick.

    A holder keeps a share of an account's rate, from which it takes a token
    for each request.
    """
    for accounts in ACCOUNT_COUNTS:
        yield from _measure_token_manager(accounts)


def measure_ejection() -> Iterator[CostMeasurement]:
    """Measure failure detection: one recorded outcome and one tick.

    The owner, the daemon beside a target, records the outcome of each request.
    """
    for instances in INSTANCE_COUNTS:
        yield from _measure_ejection_manager(instances)


def measure_owner() -> Iterator[CostMeasurement]:
    """Measure the owner's table of executions and its request queue."""
    for executions in (1_000, 4_000, 16_000):
        yield from _measure_execution_table(executions)
    queue = TargetQueue(7, 14)

    def offer_and_finish(number: int) -> None:
        queue.offer(f'r{number}', 'a', 10, 0)
        queue.finish(f'r{number}', 0)

    yield CostMeasurement(
        'owner', 'queue', 7, measure_micros_per_call(offer_and_finish), 'us'
    )


def measure_keeper() -> Iterator[CostMeasurement]:
    """Measure the memory of idempotency keys and the time of one claim.

    The keeper of a key is the daemon that records which request claimed it.
    """
    for claims in (1_000, 2_000, 4_000):
        yield from _measure_claims_memory(claims)
    for instances in INSTANCE_COUNTS:
        yield from _measure_claim_time(instances)


def measure_envelope() -> Iterator[CostMeasurement]:
    """Measure the sealed header of a forwarded request.

    Its cost is the time to seal and open it, and its size.
    """
    keyring = Keyring({'k': bytes(32)})
    forward = Forward('r/0', 'r', 'a', 't', 'i', 'acc', 1000, True, False, 1)

    def seal_and_open(_number: int) -> None:
        sealed = keyring.seal_header(forward, b'context')
        keyring.open_forward(sealed, b'context')

    sealed = keyring.seal_header(forward, b'context')
    yield CostMeasurement(
        'entry', 'envelope', 1, measure_micros_per_call(seal_and_open), 'us'
    )
    yield CostMeasurement('entry', 'envelope', 1, len(sealed), 'B')


def _measure_access_check(accounts: int) -> Iterator[CostMeasurement]:
    access = Access(sized_config(accounts))
    head = RequestHead(
        'GET',
        '/api/77/thing',
        ((b'host', b'x'), (b'authorization', b'Bearer key-77')),
    )
    cost = measure_micros_per_call(lambda _: access.check(head, is_fresh=True))
    yield CostMeasurement('entry', 'access check', accounts, cost, 'us')


def _measure_target_order(instances: int) -> Iterator[CostMeasurement]:
    cfg = sized_config(1_000, instances)
    router = Router('instance-000', 'zone', cfg, random.Random(1))
    service = next(iter(cfg.services))
    cost = measure_micros_per_call(
        lambda _: router.rank_targets(service, (), True, 1)
    )
    yield CostMeasurement('entry', 'order of targets', instances, cost, 'us')


def _measure_token_manager(accounts: int) -> Iterator[CostMeasurement]:
    cfg = sized_config(accounts)
    holder, account = _find_holder_and_account(cfg)
    large_account = replace(
        cfg.accounts[account],
        rate=1e6,
        burst=1e6,
    )
    cfg = replace(
        cfg,
        accounts={**cfg.accounts, account: large_account},
    )
    held_bytes, manager = measure_held_bytes(
        lambda: TokenManager(
            holder, cfg, 0, incarnation=1, config_age_seconds=1e6
        ),
    )
    manager.set_fresh(True, 0)
    _tick_until(manager.on_tick, WARM_UP_SECONDS)
    cost = measure_micros_per_call(
        lambda number: manager.take(f'r{number}', account, WARM_UP_SECONDS),
    )
    yield CostMeasurement('token holder', 'manager', accounts, held_bytes, 'B')
    yield CostMeasurement('token holder', 'take', accounts, cost, 'us')
    tick_cost = measure_micros_per_call(
        lambda _: manager.on_tick(WARM_UP_SECONDS)
    )
    yield CostMeasurement('token holder', 'tick', accounts, tick_cost, 'us')


def _measure_ejection_manager(instances: int) -> Iterator[CostMeasurement]:
    cfg = sized_config(1_000, instances)
    name = next(iter(cfg.targets.values())).instance
    manager = EjectionManager(name, cfg, 0)
    manager.set_fresh(True, 0)
    target = next(
        candidate.name
        for candidate in cfg.targets.values()
        if candidate.instance == name
    )
    outcome = RequestOutcome(OutcomeKind.OK, 0.025)
    cost = measure_micros_per_call(
        lambda number: manager.on_outcome(
            target, outcome, number / REQUESTS_PER_SECOND
        ),
    )
    yield CostMeasurement('owner', 'outcome', instances, cost, 'us')
    first_tick_at = CALLS_PER_ROUND * ROUNDS / REQUESTS_PER_SECOND
    tick_cost = measure_micros_per_call(
        lambda number: manager.on_tick(first_tick_at + number / 10),
    )
    yield CostMeasurement('owner', 'detection tick', instances, tick_cost, 'us')


def _measure_execution_table(executions: int) -> Iterator[CostMeasurement]:
    table = ExecutionTable('i')

    def fill() -> None:
        for number in range(executions):
            req_id = f'{number:032x}/0'
            table.register(req_id, 'i', 10, 0)
            table.start(req_id, 0)
            table.finish(req_id, 0)

    held_bytes, _ = measure_held_bytes(fill)
    yield CostMeasurement('owner', 'executions', executions, held_bytes, 'B')


def _measure_claims_memory(claims: int) -> Iterator[CostMeasurement]:
    manager, account = _make_key_manager(160)

    def fill() -> None:
        for number in range(claims):
            manager.claim(f'r{number}', account, f'k{number}', 'f', 10, 0)

    held_bytes, _ = measure_held_bytes(fill)
    yield CostMeasurement(
        'keeper', 'claims from one entry', claims, held_bytes, 'B'
    )


def _measure_claim_time(instances: int) -> Iterator[CostMeasurement]:
    manager, account = _make_key_manager(instances)
    cost = measure_micros_per_call(
        lambda number: manager.claim(
            f'r{number}',
            account,
            f'k{number}',
            'f',
            10,
            0,
        ),
    )
    yield CostMeasurement('keeper', 'claim at the entry', instances, cost, 'us')


def _make_key_manager(instances: int) -> tuple[IdempotencyManager, str]:
    cfg = sized_config(1_000, instances)
    manager = IdempotencyManager('instance-000', cfg, 0, wall_ms=lambda: 0)
    return manager, next(iter(cfg.accounts))


def _find_holder_and_account(cfg: Config) -> tuple[str, str]:
    account = next(iter(cfg.accounts))
    manager = TokenManager('instance-000', cfg, 0, incarnation=1)
    return manager.holders(account)[0], account


def _tick_until(tick: Callable[[float], Any], until: float) -> None:
    for step in range(int(until * TICKS_PER_SECOND) + 1):
        tick(step / TICKS_PER_SECOND)

"""Costs of the decisions taken for requests, at three sizes each."""

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
from clementinedeal_bench._slope import (
    ACCOUNT_SIZES,
    CALLS,
    INSTANCE_SIZES,
    ROUNDS,
    Slope,
    bytes_of,
    micros_per_call,
    sized_config,
)

WARM_SECONDS = 100.0
TICKS_PER_SECOND = 20
REQUESTS_PER_SECOND = 13


def entry() -> Iterator[Slope]:
    """Measure the entry's decisions for one request."""
    for accounts in ACCOUNT_SIZES:
        yield from _access_of(accounts)
    for instances in INSTANCE_SIZES:
        yield from _order_of(instances)


def tokens() -> Iterator[Slope]:
    """Measure taking a token from a share held here, and an idle tick."""
    for accounts in ACCOUNT_SIZES:
        yield from _tokens_of(accounts)


def ejection() -> Iterator[Slope]:
    """Measure the owner's evidence and the permit holder's reports."""
    for instances in INSTANCE_SIZES:
        yield from _ejection_of(instances)


def owner() -> Iterator[Slope]:
    """Measure the record of executions and the queue."""
    for entries in (1_000, 4_000, 16_000):
        yield from _executions_of(entries)
    queue = TargetQueue(7, 14)

    def turn(number: int) -> None:
        queue.offer(f'r{number}', 'a', 10, 0)
        queue.finish(f'r{number}', 0)

    yield Slope('owner', 'queue', 7, micros_per_call(turn), 'us')


def keeper() -> Iterator[Slope]:
    """Measure keys kept with their answers, and one claim."""
    for entries in (1_000, 2_000, 4_000):
        yield from _keys_of(entries)
    for instances in INSTANCE_SIZES:
        yield from _claims_of(instances)


def envelope() -> Iterator[Slope]:
    """Measure sealing and opening what joins a forward."""
    keyring = Keyring({'k': bytes(32)})
    fwd = Forward('r/0', 'r', 'a', 't', 'i', 'acc', 1000, True, False, 1)

    def turn(_number: int) -> None:
        sealed = keyring.seal_header(fwd, b'context')
        keyring.open_forward(sealed, b'context')

    sealed = keyring.seal_header(fwd, b'context')
    yield Slope('entry', 'envelope', 1, micros_per_call(turn), 'us')
    yield Slope('entry', 'envelope', 1, len(sealed), 'B')


def _access_of(accounts: int) -> Iterator[Slope]:
    access = Access(sized_config(accounts))
    head = RequestHead(
        'GET',
        '/api/77/thing',
        ((b'host', b'x'), (b'authorization', b'Bearer key-77')),
    )
    cost = micros_per_call(lambda _: access.check(head, is_fresh=True))
    yield Slope('entry', 'access check', accounts, cost, 'us')


def _order_of(instances: int) -> Iterator[Slope]:
    cfg = sized_config(1_000, instances)
    router = Router('instance-000', 'zone', cfg, random.Random(1))
    service = next(iter(cfg.services))
    cost = micros_per_call(lambda _: router.rank_targets(service, (), True, 1))
    yield Slope('entry', 'order of targets', instances, cost, 'us')


def _tokens_of(accounts: int) -> Iterator[Slope]:
    cfg = sized_config(accounts)
    name, account = _held_account(cfg)
    generous = replace(
        cfg.accounts[account],
        rate=1e6,
        burst=1e6,
    )
    cfg = replace(
        cfg,
        accounts={**cfg.accounts, account: generous},
    )
    held, manager = bytes_of(
        lambda: TokenManager(name, cfg, 0, incarnation=1, known_for=1e6),
    )
    manager.set_fresh(True, 0)
    _pass_time(manager.on_tick, WARM_SECONDS)
    cost = micros_per_call(
        lambda number: manager.take(f'r{number}', account, WARM_SECONDS),
    )
    yield Slope('token holder', 'manager', accounts, held, 'B')
    yield Slope('token holder', 'take', accounts, cost, 'us')
    idle = micros_per_call(lambda _: manager.on_tick(WARM_SECONDS))
    yield Slope('token holder', 'tick', accounts, idle, 'us')


def _ejection_of(instances: int) -> Iterator[Slope]:
    cfg = sized_config(1_000, instances)
    name = next(iter(cfg.targets.values())).instance
    manager = EjectionManager(name, cfg, 0)
    manager.set_fresh(True, 0)
    target = next(
        one.name for one in cfg.targets.values() if one.instance == name
    )
    outcome = RequestOutcome(OutcomeKind.OK, 0.025)
    cost = micros_per_call(
        lambda number: manager.on_outcome(
            target, outcome, number / REQUESTS_PER_SECOND
        ),
    )
    yield Slope('owner', 'outcome', instances, cost, 'us')
    late = CALLS * ROUNDS / REQUESTS_PER_SECOND
    idle = micros_per_call(
        lambda number: manager.on_tick(late + number / 10),
    )
    yield Slope('owner', 'detection tick', instances, idle, 'us')


def _executions_of(entries: int) -> Iterator[Slope]:
    table = ExecutionTable('i')

    def fill() -> None:
        for number in range(entries):
            req_id = f'{number:032x}/0'
            table.register(req_id, 'i', 10, 0)
            table.start(req_id, 0)
            table.finish(req_id, 0)

    held, _ = bytes_of(fill)
    yield Slope('owner', 'executions', entries, held, 'B')


def _keys_of(entries: int) -> Iterator[Slope]:
    manager, account = _key_manager(160)

    def fill() -> None:
        for number in range(entries):
            manager.claim(f'r{number}', account, f'k{number}', 'f', 10, 0)

    held, _ = bytes_of(fill)
    yield Slope('keeper', 'claims from one entry', entries, held, 'B')


def _claims_of(instances: int) -> Iterator[Slope]:
    manager, account = _key_manager(instances)
    cost = micros_per_call(
        lambda number: manager.claim(
            f'r{number}',
            account,
            f'k{number}',
            'f',
            10,
            0,
        ),
    )
    yield Slope('keeper', 'claim at the entry', instances, cost, 'us')


def _key_manager(instances: int) -> tuple[IdempotencyManager, str]:
    cfg = sized_config(1_000, instances)
    manager = IdempotencyManager('instance-000', cfg, 0, wall_ms=lambda: 0)
    return manager, next(iter(cfg.accounts))


def _held_account(cfg: Config) -> tuple[str, str]:
    account = next(iter(cfg.accounts))
    first = TokenManager('instance-000', cfg, 0, incarnation=1)
    return first.holders(account)[0], account


def _pass_time(tick: Callable[[float], Any], until: float) -> None:
    for step in range(int(until * TICKS_PER_SECOND) + 1):
        tick(step / TICKS_PER_SECOND)

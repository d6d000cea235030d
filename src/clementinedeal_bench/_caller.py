"""Load caller: client accounts that send requests to several daemons."""

import random
import secrets
import time
import uuid
from collections.abc import Callable

import trio
from result import Err, Result

from clementinedeal_bench._call_records import (
    CallOutcome,
    CallRecord,
    record_answer,
    record_failure,
)
from clementinedeal_bench._scenario import AccountLoad, RequestKind, Scenario
from clementinedeal_bench._web_client import WebClient, WebFailure
from clementinedeal_bench._web_messages import HeaderList, WebAnswer, WebRequest

MAX_IDLE_CONNECTIONS = 64  # of one account to one daemon
MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000
# layout of a UUID of version 7 (RFC 9562), as bit positions and widths
UUID_TIME_SHIFT = 80
UUID_UPPER_BITS = 12
UUID_UPPER_SHIFT = 64
UUID_LOWER_BITS = 62
UUID_VERSION_7 = (7 << 76) | (2 << UUID_LOWER_BITS)  # version and variant
# The caller waits for this long beyond the timeout that its request states.
GRACE_SECONDS = 1.0


class Account:
    """One client account: its traffic, random choices and connections."""

    def __init__(self, name: str, load: AccountLoad, seed: int) -> None:
        """Create an account without connections.

        :param name: name of the account.
        :param load: traffic and API key of the account.
        :param seed: makes the account's choices repeatable.
        """
        self.name = name
        self.load = load
        self._rng = random.Random(f'{seed}/{name}')
        self._idle: dict[str, list[WebClient]] = {}
        self._weights = [kind.weight for kind in load.requests]

    def draw_arrival_gap(self) -> float:
        """Return the seconds until the next request of the open loop."""
        return self._rng.expovariate(self.load.rate)

    def choose_request(
        self,
        daemons: tuple[str, ...],
    ) -> tuple[str, RequestKind]:
        """Return a random daemon, and a kind of request chosen by weight.

        :param daemons: ``ip:port`` of each daemon.
        """
        chosen = self._rng.choices(self.load.requests, self._weights)
        return self._rng.choice(daemons), chosen[0]

    def take_connection(self, daemon: str) -> WebClient:
        """Return an idle connection to a daemon, or a new one.

        :param daemon: ``ip:port`` of the daemon.
        """
        idle = self._idle.setdefault(daemon, [])
        return idle.pop() if idle else WebClient(daemon)

    def return_connection(self, client: WebClient) -> None:
        """Keep a connection for later requests, or close it.

        :param client: a connection from ``take_connection``.
        """
        idle = self._idle[client.address]
        if len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(client)
        else:
            client.close()

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for client in idle:
                client.close()


class Caller:
    """Runs a scenario and passes the record of each call to a sink."""

    def __init__(
        self,
        scenario: Scenario,
        sink: Callable[[CallRecord], None],
    ) -> None:
        """Create a caller.

        :param scenario: daemons, accounts and length of the run.
        :param sink: called with each complete record.
        """
        self._scenario = scenario
        self._sink = sink
        self._stop = trio.Event()
        self._run_id = uuid.uuid4().hex[:8]
        self._sent_count = 0

    def stop(self) -> None:
        """Send no more requests; ``run`` still awaits the calls in progress."""
        self._stop.set()

    async def run(self) -> None:
        """Send requests until the scenario's end or a call of ``stop``."""
        accounts = [
            Account(name, load, self._scenario.seed)
            for name, load in self._scenario.accounts.items()
        ]
        async with trio.open_nursery() as nursery:
            for account in accounts:
                self._start_account(nursery, account)
            with trio.move_on_after(self._scenario.seconds):
                await self._stop.wait()
            self._stop.set()
        for used_account in accounts:
            used_account.close()

    def _start_account(self, nursery: trio.Nursery, account: Account) -> None:
        if account.load.rate:
            nursery.start_soon(self._run_open_loop, account)
        for _ in range(account.load.workers):
            nursery.start_soon(self._run_closed_loop, account)

    async def _run_open_loop(self, account: Account) -> None:
        due = time.monotonic()
        async with trio.open_nursery() as nursery:
            while not self._stop.is_set():
                due += account.draw_arrival_gap()
                with trio.move_on_after(max(0, due - time.monotonic())):
                    await self._stop.wait()
                    break
                nursery.start_soon(self._call, account, due)

    async def _run_closed_loop(self, account: Account) -> None:
        while not self._stop.is_set():
            await self._call(account, time.monotonic())

    async def _call(self, account: Account, due: float) -> None:
        daemon, kind = account.choose_request(self._scenario.daemons)
        record = self._new_record(account, daemon, kind, due)
        req = _build_request(account, kind, record)
        client = account.take_connection(daemon)
        record.sent = time.monotonic()
        timeout_seconds = kind.timeout_ms / MS_PER_SECOND + GRACE_SECONDS
        with trio.move_on_after(timeout_seconds):
            _record_result(record, req, await client.request(req))
        if record.outcome is CallOutcome.TIMEOUT:
            record.detail = f'no answer in {timeout_seconds} s'
        account.return_connection(client)
        record.end = time.monotonic()
        self._sink(record)

    def _new_record(
        self,
        account: Account,
        daemon: str,
        kind: RequestKind,
        due: float,
    ) -> CallRecord:
        self._sent_count += 1
        caller_request = f'{self._run_id}-{self._sent_count}'
        separator = '&' if '?' in kind.path else '?'
        return CallRecord(
            caller_request=caller_request,
            account=account.name,
            service=kind.service,
            method=kind.method,
            path=f'{kind.path}{separator}caller-request={caller_request}',
            daemon=daemon,
            due=due,
            idempotency_key=make_uuid7() if kind.idempotency_key else '',
        )


def make_uuid7() -> str:
    """Return a new UUID of version 7: wall-clock time, then random bits."""
    timestamp = time.time_ns() // NS_PER_MS << UUID_TIME_SHIFT
    upper = secrets.randbits(UUID_UPPER_BITS) << UUID_UPPER_SHIFT
    lower = secrets.randbits(UUID_LOWER_BITS)
    return str(uuid.UUID(int=timestamp | UUID_VERSION_7 | upper | lower))


def _record_result(
    record: CallRecord,
    req: WebRequest,
    result: Result[WebAnswer, WebFailure],
) -> None:
    if isinstance(result, Err):
        record_failure(record, result.err_value)
    else:
        record_answer(record, req, result.ok_value)


def _build_request(
    account: Account,
    kind: RequestKind,
    record: CallRecord,
) -> WebRequest:
    headers: HeaderList = (('x-request-timeout-ms', str(kind.timeout_ms)),)
    if account.load.key:
        headers += (('authorization', f'Bearer {account.load.key}'),)
    if record.idempotency_key:
        headers += (('idempotency-key', record.idempotency_key),)
    return WebRequest(
        method=kind.method,
        target=record.path,
        headers=headers,
        body=b'x' * kind.body_bytes,
    )

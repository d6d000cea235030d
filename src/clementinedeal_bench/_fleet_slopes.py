"""Costs of the configuration and of control messages, at three sizes."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import trio

from clementinedeal._access import Access
from clementinedeal._control import ControlChannel
from clementinedeal._envelope import Keyring
from clementinedeal._events import EventLog
from clementinedeal._messages import Send, message
from clementinedeal._publication import pack, read_root, unpack
from clementinedeal_bench._slope import (
    ACCOUNT_SIZES,
    CALLS,
    MICROS,
    Slope,
    bytes_of,
    sized_config,
)

PAYLOAD_BYTES = (100, 1_000, 10_000)
WARM_MESSAGES = 50


def configuration() -> Iterator[Slope]:
    """Measure holding, unpacking and indexing a configuration."""
    for accounts in ACCOUNT_SIZES:
        yield from _configuration_of(accounts)


def control() -> Iterator[Slope]:
    """Measure control messages over loopback."""
    for size in PAYLOAD_BYTES:
        yield trio.run(_exchange, size)


@message
@dataclass(frozen=True, slots=True)
class Payload:
    """A control message of any size."""

    blob: bytes


async def _exchange(size: int) -> Slope:
    """Measure one batch, sent and received in this process."""
    addresses = {'a': '127.0.0.1:20701', 'b': '127.0.0.1:20702'}
    heard = trio.Event()

    def receive(sender: str, body: Any) -> None:
        heard.set()

    here, there = (
        ControlChannel(
            address,
            Keyring({'k': bytes(32)}),
            EventLog(name, '1'),
            addresses.get,
            receive,
        )
        for name, address in addresses.items()
    )
    async with trio.open_nursery() as nursery:
        await here.start(nursery)
        await there.start(nursery)
        started = 0.0
        count = CALLS // 4
        for number in range(count + WARM_MESSAGES):
            if number == WARM_MESSAGES:
                started = time.process_time()
            heard = trio.Event()
            here.send(Send('b', Payload(bytes(size))))
            await heard.wait()
        cost = (time.process_time() - started) / count * MICROS
        await here.stop()
        await there.stop()
        nursery.cancel_scope.cancel()
    return Slope('control', 'message, both ends', size, cost, 'us')


def _configuration_of(accounts: int) -> Iterator[Slope]:
    publication = pack(sized_config(accounts)).unwrap()
    root = read_root(publication.root).unwrap()
    started = time.process_time()
    held, cfg = bytes_of(lambda: unpack(root, publication.parts).unwrap())
    seconds = time.process_time() - started
    parts = sum(len(blob) for blob in publication.parts.values())
    largest = max(len(blob) for blob in publication.parts.values())
    index, _ = bytes_of(lambda: Access(cfg))
    for figure, amount, unit in (
        ('parts', parts, 'B'),
        ('largest part', largest, 'B'),
        ('root', len(publication.root), 'B'),
        ('configuration', held, 'B'),
        ('index', index, 'B'),
        ('unpack, traced', seconds, 's'),
    ):
        yield Slope('configuration', figure, accounts, amount, unit)

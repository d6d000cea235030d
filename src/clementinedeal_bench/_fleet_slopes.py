"""Measures the cost of configurations and control messages by size.

The size of a configuration is its number of accounts, that of a message the
bytes of its payload.
"""

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
from clementinedeal_bench._cost_measurement import (
    ACCOUNT_COUNTS,
    CALLS_PER_ROUND,
    MICROS_PER_SECOND,
    CostMeasurement,
    measure_held_bytes,
    sized_config,
)

PAYLOAD_BYTES = (100, 1_000, 10_000)
WARM_UP_MESSAGES = 50  # sent before the measurement begins


def measure_configuration() -> Iterator[CostMeasurement]:
    """Measure the memory of a configuration and its index, and unpacking it."""
    for accounts in ACCOUNT_COUNTS:
        yield from _measure_configuration_at(accounts)


def measure_control() -> Iterator[CostMeasurement]:
    """Measure the processor time of control messages over loopback."""
    for size in PAYLOAD_BYTES:
        yield trio.run(_measure_exchange, size)


@message
@dataclass(frozen=True, slots=True)
class Payload:
    """A control message that carries ``blob`` and is used only here."""

    blob: bytes


async def _measure_exchange(size: int) -> CostMeasurement:
    """Return the processor time of one message, at both ends.

    Sender and receiver run in this process; each message is sent after the
    one before it was received.

    :param size: bytes of the payload.
    """
    addresses = {'a': '127.0.0.1:20701', 'b': '127.0.0.1:20702'}
    received = trio.Event()

    def receive(sender: str, body: Any) -> None:
        received.set()

    local, remote = (
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
        await local.start(nursery)
        await remote.start(nursery)
        started_at = 0.0
        count = CALLS_PER_ROUND // 4
        for number in range(count + WARM_UP_MESSAGES):
            if number == WARM_UP_MESSAGES:
                started_at = time.process_time()
            received = trio.Event()
            local.send(Send('b', Payload(bytes(size))))
            await received.wait()
        cost = (time.process_time() - started_at) / count * MICROS_PER_SECOND
        await local.stop()
        await remote.stop()
        nursery.cancel_scope.cancel()
    return CostMeasurement('control', 'message, both ends', size, cost, 'us')


def _measure_configuration_at(accounts: int) -> Iterator[CostMeasurement]:
    publication = pack(sized_config(accounts)).unwrap()
    root = read_root(publication.root).unwrap()
    started_at = time.process_time()
    held_bytes, cfg = measure_held_bytes(
        lambda: unpack(root, publication.parts).unwrap()
    )
    unpack_seconds = time.process_time() - started_at
    parts_bytes = sum(len(blob) for blob in publication.parts.values())
    largest_part_bytes = max(len(blob) for blob in publication.parts.values())
    index_bytes, _ = measure_held_bytes(lambda: Access(cfg))
    for figure, amount, unit in (
        ('parts', parts_bytes, 'B'),
        ('largest part', largest_part_bytes, 'B'),
        ('root', len(publication.root), 'B'),
        ('configuration', held_bytes, 'B'),
        ('index', index_bytes, 'B'),
        ('unpack, traced', unpack_seconds, 's'),
    ):
        yield CostMeasurement('configuration', figure, accounts, amount, unit)

"""Control channel between two daemons, and rotation of the fleet keys."""

from dataclasses import dataclass
from typing import Any

import pytest
import trio
from result import Err, Ok, Result

from clementinedeal._control import ControlChannel, Receiver
from clementinedeal._envelope import Keyring
from clementinedeal._errors import PeerAuthError, SettingsError
from clementinedeal._events import EventLog
from clementinedeal._key_rotation import KeyRotation
from clementinedeal._messages import Send, message
from clementinedeal._settings import DaemonSettings, FleetKey
from ports import free_address


@message
@dataclass(frozen=True, slots=True)
class Note:
    """A message of the test; the text ``bug`` makes its receiver raise."""

    text: str


ADDRESSES = {'a': free_address(), 'b': free_address()}


def channel(
    name: str,
    keys: dict[str, bytes],
    receive: Receiver,
) -> ControlChannel:
    return ControlChannel(
        ADDRESSES[name],
        Keyring(keys),
        EventLog(name, '1'),
        ADDRESSES.get,
        receive,
    )


async def exchange(
    sender_keys: dict[str, bytes],
    receiver_keys: dict[str, bytes],
) -> tuple[list[tuple[str, Any]], ControlChannel]:
    received: list[tuple[str, Any]] = []

    def receive(sender: str, body: Any) -> None:
        received.append((sender, body))
        if body == Note('bug'):
            raise ValueError('bug')

    sender = channel('a', sender_keys, receive)
    receiver = channel('b', receiver_keys, receive)
    async with trio.open_nursery() as nursery:
        await sender.start(nursery)
        await receiver.start(nursery)
        for text in ('one', 'bug', 'two'):
            sender.send(Send('b', Note(text)))
        sender.send(Send('nobody', Note('lost')))
        with trio.move_on_after(5):
            while not receiver.counters.batches_received:  # noqa: ASYNC110
                await trio.sleep(0.01)
        await sender.stop()
        sender.send(Send('b', Note('late')))
        await receiver.stop()
        nursery.cancel_scope.cancel()
    return received, receiver


async def test_a_batch_arrives_in_order_with_its_sender() -> None:
    keys = {'k': b'1' * 32}
    received, _ = await exchange(keys, keys)
    assert received == [(('a'), Note(text)) for text in ('one', 'bug', 'two')]


async def test_a_batch_sealed_with_an_unknown_key_is_rejected() -> None:
    received, receiver = await exchange({'k': b'1' * 32}, {'k': b'2' * 32})
    assert received == []
    assert receiver.counters.rejected == 1


async def test_keys_rotate_while_both_are_known() -> None:
    old, new = b'1' * 32, b'2' * 32
    received, _ = await exchange(
        {'new': new, 'old': old}, {'old': old, 'new': new}
    )
    assert len(received) == 3


def test_rejected_settings_leave_the_old_keys() -> None:
    old = FleetKey(name='old', secret=b'1' * 32)
    new = FleetKey(name='new', secret=b'2' * 32)
    ring = Keyring({'old': old.secret})
    bad = SettingsError(file='f', path='fleet_keys', reason='none')
    results: list[Result[DaemonSettings, SettingsError]] = [
        Err(bad),
        Ok(settings_with(new, old)),
    ]
    rotation = KeyRotation(ring, lambda: results.pop(0), EventLog('a', '1'))
    rotation.rotate()
    sealed = Keyring({'new': new.secret}).seal(b'x', b'to')
    with pytest.raises(PeerAuthError):
        ring.open(sealed, b'to')
    rotation.rotate()
    assert ring.open(sealed, b'to') == b'x'
    assert ring.open(Keyring({'old': old.secret}).seal(b'y', b''), b'') == b'y'


def settings_with(*keys: FleetKey) -> DaemonSettings:
    return DaemonSettings(
        instance='a',
        zone='z',
        region='r',
        caller='127.0.0.1:1',
        peer='127.0.0.1:2',
        control='127.0.0.1:3',
        operator='127.0.0.1:4',
        platform=('127.0.0.1:5',),
        fleet_keys=keys,
    )

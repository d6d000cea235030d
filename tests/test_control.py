import socket
from dataclasses import dataclass
from typing import Any

import trio

from clementinedeal._control import ControlChannel
from clementinedeal._envelope import Keyring
from clementinedeal._events import EventLog
from clementinedeal._messages import Send, message


@message
@dataclass(frozen=True, slots=True)
class Note:
    text: str


def free_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as server:
        return f'127.0.0.1:{server.getsockname()[1]}'


ADDRESSES = {'a': free_address(), 'b': free_address()}


def channel(name: str, keys: dict[str, bytes]) -> ControlChannel:
    return ControlChannel(
        ADDRESSES[name],
        Keyring(keys),
        EventLog(name, '1'),
        ADDRESSES.get,
    )


async def exchange(
    sender_keys: dict[str, bytes],
    receiver_keys: dict[str, bytes],
) -> tuple[list[tuple[str, Any]], ControlChannel]:
    here, there = channel('a', sender_keys), channel('b', receiver_keys)
    received: list[tuple[str, Any]] = []

    def receive(sender: str, body: Any) -> None:
        received.append((sender, body))
        if body == Note('bug'):
            raise ValueError('bug')

    async with trio.open_nursery() as nursery:
        await here.start()
        await there.start()
        nursery.start_soon(here.run_sender)
        nursery.start_soon(there.run_receiver, receive)
        for text in ('one', 'bug', 'two'):
            here.send(Send('b', Note(text)))
        here.send(Send('nobody', Note('lost')))
        with trio.move_on_after(5):
            while not there.counters.messages_received:  # noqa: ASYNC110
                await trio.sleep(0.01)
        await here.stop()
        here.send(Send('b', Note('late')))
        await there.stop()
        nursery.cancel_scope.cancel()
    return received, there


async def test_a_batch_arrives_in_order_with_its_sender() -> None:
    keys = {'k': b'1' * 32}
    received, _ = await exchange(keys, keys)
    assert received == [(('a'), Note(text)) for text in ('one', 'bug', 'two')]


async def test_strangers_are_not_heard() -> None:
    received, there = await exchange({'k': b'1' * 32}, {'k': b'2' * 32})
    assert received == []
    assert there.counters.rejected == 1


async def test_keys_rotate_while_both_are_known() -> None:
    old, new = b'1' * 32, b'2' * 32
    received, _ = await exchange(
        {'new': new, 'old': old}, {'old': old, 'new': new}
    )
    assert len(received) == 3

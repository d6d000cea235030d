"""Registry and codec of control messages, and the action that sends one."""

from dataclasses import dataclass, is_dataclass
from typing import Any, TypeVar

import msgspec

from clementinedeal._errors import DECODE_ERRORS, ProtocolError

MessageT = TypeVar('MessageT')

_MESSAGE_CLASSES: dict[str, type[Any]] = {}


def message(kind: type[MessageT]) -> type[MessageT]:
    """Register a frozen data class as a control message.

    :param kind: the class; its name identifies it in encoded batches.
    :raises TypeError: the class is not a data class.
    """
    if not is_dataclass(kind):
        raise TypeError(f'{kind.__name__} is not a data class')
    _MESSAGE_CLASSES[kind.__name__] = kind
    return kind


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send a control message to another instance.

    ``to`` is the name of the instance, ``body`` a registered message.
    Delivery is not guaranteed.
    """

    to: str
    body: Any


def encode(bodies: tuple[Any, ...]) -> bytes:
    """Encode a batch of registered messages.

    :param bodies: registered messages, in the order of delivery.
    """
    return msgspec.msgpack.encode(
        [(type(body).__name__, body) for body in bodies],
    )


def decode(blob: bytes) -> tuple[Any, ...]:
    """Decode a batch of registered messages.

    :param blob: result of ``encode``.
    :raises ProtocolError: a message class is unknown, or fields are malformed.
    """
    try:
        pairs = msgspec.msgpack.decode(blob, type=list[tuple[str, msgspec.Raw]])
        return tuple(_decode_message(name, raw) for name, raw in pairs)
    except DECODE_ERRORS as exc:
        raise ProtocolError(f'malformed control batch: {exc}') from exc


def _decode_message(name: str, raw: msgspec.Raw) -> Any:
    kind = _MESSAGE_CLASSES.get(name)
    if kind is None:
        raise ProtocolError(f'unknown control message {name}')
    return msgspec.msgpack.decode(raw, type=kind)

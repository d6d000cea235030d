"""Decodes the registrations of targets in the platform's store."""

import re
from typing import Annotated, TypeAlias

import msgspec

from clementinedeal._addresses import is_address
from clementinedeal._errors import DECODE_ERRORS
from clementinedeal.mesh._types import Target
from clementinedeal.platform._declaration import UnreadableError

_STATES = frozenset(('ready', 'draining'))
# Names are sent in headers and, like all fields, in datagrams of 64 KB.
_NAME = re.compile(r'[!-~]{1,180}')
_Text: TypeAlias = Annotated[str, msgspec.Meta(max_length=200)]
_Slots: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
_Seconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
_UnixMs: TypeAlias = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]


class _Info(msgspec.Struct):
    """Fixed data of a target; ``slots``: requests that it runs at once."""

    service: _Text
    zone: _Text
    slots: _Slots


class _Status(msgspec.Struct):
    """Present condition of a target; ``state`` is one of ``_STATES``."""

    state: _Text
    # seconds for which the target stays cold
    warmup_s_time: _Seconds | None = None


class _Registration(msgspec.Struct):
    """The value that a target writes; ``address`` is its ``ip:port``."""

    address: _Text
    info: _Info
    status: _Status
    # Unix milliseconds of the target's start
    born: _UnixMs = 0


def decode_target(name: str, blob: bytes) -> Target:
    """Decode the registration of one target.

    :param name: the target's name, the end of its key in the store.
    :param blob: the stored value, JSON.
    :raises UnreadableError: the value is not valid; the message says why.
    """
    if not _NAME.fullmatch(name):
        raise UnreadableError('the name is not short printable ASCII')
    try:
        registration = msgspec.json.decode(blob, type=_Registration)
    except DECODE_ERRORS as exc:
        raise UnreadableError(str(exc)) from exc
    if registration.status.state not in _STATES:
        raise UnreadableError(f'unknown state {registration.status.state!r}')
    if not is_address(registration.address):
        raise UnreadableError(f'{registration.address!r} is not ip:port')
    if not registration.info.service:
        raise UnreadableError('expected the name of a service')
    return Target(
        name=name,
        service=registration.info.service,
        address=registration.address,
        zone=registration.info.zone,
        slots=registration.info.slots,
        draining=registration.status.state == 'draining',
        warmup_seconds=registration.status.warmup_s_time,
        started_ms=registration.born,
    )

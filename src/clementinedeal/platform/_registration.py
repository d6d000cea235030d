"""Decodes the registrations of targets in the platform's store."""

import msgspec

from clementinedeal._addresses import is_address
from clementinedeal._errors import DECODE_ERRORS
from clementinedeal.mesh._types import Target
from clementinedeal.platform._declaration import UnreadableError

_STATES = frozenset(('ready', 'draining'))


class _Info(msgspec.Struct):
    """Fixed data of a target; ``slots``: requests that it runs at once."""

    service: str
    zone: str
    slots: int


class _Status(msgspec.Struct):
    """Present condition of a target; ``state`` is one of ``_STATES``."""

    state: str
    # seconds for which the target is slow after its start
    warmup_s_time: float = 0


class _Registration(msgspec.Struct):
    """The value that a target writes; ``address`` is its ``ip:port``."""

    address: str
    info: _Info
    status: _Status
    # Unix milliseconds of the target's start
    born: int = 0


def decode_target(name: str, blob: bytes) -> Target:
    """Decode the registration of one target.

    :param name: the target's name, the end of its key in the store.
    :param blob: the stored value, JSON.
    :raises UnreadableError: the value is not valid; the message says why.
    """
    try:
        registration = msgspec.json.decode(blob, type=_Registration)
    except DECODE_ERRORS as exc:
        raise UnreadableError(str(exc)) from exc
    if registration.status.state not in _STATES:
        raise UnreadableError(f'unknown state {registration.status.state!r}')
    if not is_address(registration.address):
        raise UnreadableError(f'{registration.address!r} is not ip:port')
    if registration.info.slots < 1 or not registration.info.service:
        raise UnreadableError('expected at least one slot and a service name')
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

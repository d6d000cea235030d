"""Reads a daemon's own settings from a YAML file.

They are read at start; only the fleet keys are read again, at SIGHUP.
"""

import math
from dataclasses import dataclass, field

from result import Err, Ok, Result

from clementinedeal._addresses import is_address
from clementinedeal._document import YamlEntry, read_document
from clementinedeal._errors import SettingsError

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64  # key length limit of BLAKE2b

_LISTENER_FIELDS = ('caller', 'peer', 'control', 'operator')


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetKey:
    """A named secret shared by all daemons of a fleet.

    Daemons authenticate their messages to each other with it.
    """

    name: str
    secret: bytes = field(repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on connections, sizes and waiting times.

    They bound what a caller, a peer or a target can make the daemon hold or
    wait for. Sizes are in bytes, times in seconds. ``drain_timeout_seconds``
    is how long a stopping daemon lets running requests finish.
    ``max_caller_connections`` and ``connect_timeout_seconds`` are validated
    but not applied.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 8_388_608
    max_caller_connections: int = 2_000
    head_timeout_seconds: float = 5.0
    body_timeout_seconds: float = 30.0
    idle_timeout_seconds: float = 60.0
    connect_timeout_seconds: float = 1.0
    drain_timeout_seconds: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonSettings:
    """Settings that a daemon needs before it has a configuration.

    ``caller``, ``peer``, ``control`` and ``operator`` are the addresses on
    which it listens, ``platform`` those of the platform's replicas, all
    ``ip:port``. The first fleet key seals messages; any of them opens one.
    """

    instance: str
    zone: str
    region: str
    caller: str
    peer: str
    control: str
    operator: str
    platform: tuple[str, ...]
    fleet_keys: tuple[FleetKey, ...]
    limits: Limits = field(default_factory=Limits)


def load_settings(path: str) -> Result[DaemonSettings, SettingsError]:
    """Read and validate a daemon's settings file.

    :param path: path of the YAML file.
    """
    try:
        return Ok(_read(read_document(path)))
    except SettingsError as exc:
        return Err(exc)


def _read(top: YamlEntry) -> DaemonSettings:
    entries = top.mapping()
    given: dict[str, object] = {}
    if 'fleet_keys' in entries:
        given['fleet_keys'] = _read_keys(entries.pop('fleet_keys'))
    if 'limits' in entries:
        given['limits'] = _read_limits(entries.pop('limits'))
    raw_fields = {key: entry.raw for key, entry in entries.items()}
    body = YamlEntry(top.file, top.path, raw_fields)
    cfg = body.build(DaemonSettings, **given)
    _check_names(top, cfg)
    _check_addresses(top, cfg)
    return cfg


def _read_keys(entry: YamlEntry) -> tuple[FleetKey, ...]:
    keys = tuple(
        FleetKey(name=name, secret=_read_secret(secret))
        for name, secret in entry.mapping().items()
    )
    if not keys:
        raise entry.error('at least one key is needed')
    return keys


def _read_secret(entry: YamlEntry) -> bytes:
    try:
        secret = bytes.fromhex(entry.convert(entry.raw, str))
    except ValueError as exc:
        raise entry.error('the secret is not hexadecimal') from exc
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        raise entry.error(
            f'the secret needs {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes',
        )
    return secret


def _read_limits(entry: YamlEntry) -> Limits:
    limits = entry.build(Limits)
    for name in entry.mapping():
        amount = getattr(limits, name)
        if not (amount > 0 and math.isfinite(amount)):
            raise entry.error('must be above 0', name)
    return limits


def _check_names(top: YamlEntry, cfg: DaemonSettings) -> None:
    for name in ('instance', 'zone', 'region'):
        if not getattr(cfg, name):
            raise top.error('must not be empty', name)


def _check_addresses(top: YamlEntry, cfg: DaemonSettings) -> None:
    seen: set[str] = set()
    for name in _LISTENER_FIELDS:
        address = getattr(cfg, name)
        if not is_address(address):
            raise top.error(f'{address!r} is not ip:port', name)
        if address in seen:
            raise top.error(f'{address} is used twice', name)
        seen.add(address)
    if not cfg.platform:
        raise top.error('at least one address is needed', 'platform')
    for index, address in enumerate(cfg.platform):
        if not is_address(address):
            raise top.error(f'{address!r} is not ip:port', f'platform.{index}')

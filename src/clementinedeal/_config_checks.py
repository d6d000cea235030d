"""Validates single entries of a configuration.

The path of each fault is relative to the entry.
"""

import math
import re
from collections.abc import Iterator
from dataclasses import dataclass

from clementinedeal._addresses import is_address
from clementinedeal._model import (
    Account,
    Config,
    Instance,
    Preset,
    Route,
    Target,
)

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]{0,62}')
_DIGEST = re.compile('[0-9a-f]{64}')
_METHOD = re.compile(r'[A-Z]{1,16}|\*')
_PREFIX = re.compile('/[!-~]{0,255}')


@dataclass(frozen=True, slots=True)
class Fault:
    """A reason to reject a configuration; ``path`` is dotted."""

    path: str
    reason: str


def is_name(text: str) -> bool:
    """Return whether a text is valid as the name of an entry.

    :param text: the name to check.
    """
    return bool(_NAME.fullmatch(text))


def preset_faults(cfg: Config, preset: Preset) -> Iterator[Fault]:
    """Yield the faults of a preset.

    :param cfg: the configuration that holds it.
    :param preset: the preset to check.
    """
    if not _is_positive(preset.deadline):
        yield Fault('deadline', 'must be finite and above 0')
    if preset.queue_limit < 0:
        yield Fault('queue_limit', 'must not be below 0')
    if not 0 <= preset.retry_ratio <= 1:
        yield Fault('retry_ratio', 'must be from 0 to 1')
    if preset.max_attempts < 1:
        yield Fault('max_attempts', 'must be at least 1')
    if not (preset.hedge_after >= 0 and math.isfinite(preset.hedge_after)):
        yield Fault('hedge_after', 'must be finite and not below 0')
    for service in preset.floors:
        if service not in cfg.services:
            yield Fault(f'floors.{service}', 'unknown service')


def target_faults(cfg: Config, target: Target) -> Iterator[Fault]:
    """Yield the faults of a target.

    :param cfg: the configuration that holds it.
    :param target: the target to check.
    """
    if target.service not in cfg.services:
        yield Fault('service', f'unknown service {target.service}')
    if target.instance not in cfg.instances:
        yield Fault('instance', f'unknown instance {target.instance}')
    if not is_address(target.address):
        yield Fault('address', f'{target.address!r} is not ip:port')
    if target.slots < 1:
        yield Fault('slots', 'must be at least 1')
    if target.connections < target.slots:
        yield Fault('connections', 'must not be below slots')


def route_faults(cfg: Config, route: Route) -> Iterator[Fault]:
    """Yield the faults of a route.

    :param cfg: the configuration that holds it.
    :param route: the route to check.
    """
    if not _METHOD.fullmatch(route.method):
        yield Fault('method', 'must be upper-case letters or *')
    if not _PREFIX.fullmatch(route.prefix):
        yield Fault('prefix', 'must be a path that begins with /')
    if route.service not in cfg.services:
        yield Fault('service', f'unknown service {route.service}')


def account_faults(cfg: Config, account: Account) -> Iterator[Fault]:
    """Yield the faults of a client account.

    :param cfg: the configuration that holds it.
    :param account: the account to check.
    """
    if not all(map(_DIGEST.fullmatch, account.key_digests)):
        yield Fault('key_digests', 'must be lower-case hex SHA-256 digests')
    if not _is_positive(account.rate):
        yield Fault('rate', 'must be finite and above 0')
    if len(set(account.key_digests)) < len(account.key_digests):
        yield Fault('key_digests', 'a digest is given twice')
    if not (account.burst >= 1 and math.isfinite(account.burst)):
        yield Fault('burst', 'must be finite and at least 1')
    for service in account.services:
        if service not in cfg.services:
            yield Fault('services', f'unknown service {service}')


def _is_positive(amount: float) -> bool:
    return amount > 0 and math.isfinite(amount)


def listen_addresses(instance: Instance) -> tuple[tuple[str, str], ...]:
    """Return the listen addresses of an instance, each with its field name.

    :param instance: the instance.
    """
    return (
        ('caller', instance.caller),
        ('peer', instance.peer),
        ('control', instance.control),
        ('operator', instance.operator),
    )

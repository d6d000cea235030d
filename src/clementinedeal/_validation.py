"""Validates a configuration, from a file or a publication alike."""

from collections.abc import Callable, Iterator

from clementinedeal._addresses import is_address
from clementinedeal._config_checks import (
    Fault,
    account_faults,
    is_name,
    listen_addresses,
    preset_faults,
    route_faults,
    target_faults,
)
from clementinedeal._model import Config, PresetName

MAX_VERSION = 2**63 - 1  # largest signed 64-bit integer


def find_fault(cfg: Config) -> Fault | None:
    """Return the first fault of a configuration, None if it is valid.

    The checks run in a fixed order, so all daemons find the same fault.

    :param cfg: the configuration, which may be invalid.
    """
    for check in _CHECKS:
        fault = next(check(cfg), None)
        if fault is not None:
            return fault
    return None


def _check_version(cfg: Config) -> Iterator[Fault]:
    if not 1 <= cfg.version <= MAX_VERSION:
        yield Fault('version', f'must be from 1 to {MAX_VERSION}')


def _check_names(cfg: Config) -> Iterator[Fault]:
    sections = {
        'services': cfg.services,
        'instances': cfg.instances,
        'targets': cfg.targets,
        'accounts': cfg.accounts,
    }
    for section, entries in sections.items():
        if not entries and section != 'accounts':
            yield Fault(section, 'at least one entry is needed')
        for name in entries:
            if not is_name(name):
                yield Fault(f'{section}.{name}', 'not a valid name')


def _check_presets(cfg: Config) -> Iterator[Fault]:
    for name in PresetName:
        if name not in cfg.presets:
            yield Fault(f'presets.{name.value}', 'required preset is missing')
    for preset in cfg.presets.values():
        for fault in preset_faults(cfg, preset):
            yield Fault(
                f'presets.{preset.name.value}.{fault.path}',
                fault.reason,
            )


def _check_floors(cfg: Config) -> Iterator[Fault]:
    counts: dict[str, int] = {}
    for target in cfg.targets.values():
        counts[target.service] = counts.get(target.service, 0) + 1
    for name, service in cfg.services.items():
        count = counts.get(name, 0)
        if not 0 <= service.floor <= count:
            yield Fault(f'services.{name}.floor', _floor_reason(count))
    for preset in cfg.presets.values():
        for name, floor in preset.floors.items():
            count = counts.get(name, 0)
            if not 0 <= floor <= count:
                path = f'presets.{preset.name.value}.floors.{name}'
                yield Fault(path, _floor_reason(count))


def _floor_reason(count: int) -> str:
    return f'must be from 0 to the number of targets, {count}'


def _check_instances(cfg: Config) -> Iterator[Fault]:
    paths_by_address: dict[str, str] = {}
    for name, instance in cfg.instances.items():
        for field, address in listen_addresses(instance):
            path = f'instances.{name}.{field}'
            if not is_address(address):
                yield Fault(path, f'{address!r} is not ip:port')
            other = paths_by_address.setdefault(address, path)
            if other != path:
                yield Fault(path, f'{address} is used by {other} too')
        if not (instance.zone and instance.region):
            yield Fault(f'instances.{name}', 'zone and region are needed')


def _check_targets(cfg: Config) -> Iterator[Fault]:
    names_by_address: dict[str, str] = {}
    for name, target in cfg.targets.items():
        for fault in target_faults(cfg, target):
            yield Fault(f'targets.{name}.{fault.path}', fault.reason)
        other = names_by_address.setdefault(target.address, name)
        if other != name:
            yield Fault(f'targets.{name}.address', f'used by {other} too')


def _check_routes(cfg: Config) -> Iterator[Fault]:
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(cfg.routes):
        for fault in route_faults(cfg, route):
            yield Fault(f'routes.{index}.{fault.path}', fault.reason)
        key = (route.method, route.prefix)
        if key in seen:
            reason = f'{route.method} {route.prefix} is routed twice'
            yield Fault(f'routes.{index}', reason)
        seen.add(key)


def _check_accounts(cfg: Config) -> Iterator[Fault]:
    names_by_digest: dict[str, str] = {}
    for name, account in cfg.accounts.items():
        for fault in account_faults(cfg, account):
            yield Fault(f'accounts.{name}.{fault.path}', fault.reason)
        for digest in account.key_digests:
            other = names_by_digest.setdefault(digest, name)
            if other != name:
                reason = f'a digest is used by {other} too'
                yield Fault(f'accounts.{name}.key_digests', reason)


_CHECKS: tuple[Callable[[Config], Iterator[Fault]], ...] = (
    _check_version,
    _check_names,
    _check_presets,
    _check_floors,
    _check_instances,
    _check_targets,
    _check_routes,
    _check_accounts,
)

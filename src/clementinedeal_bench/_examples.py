"""Writes the example declarations of the two user organisations.

Run as ``python -m clementinedeal_bench._examples DIRECTORY``.
"""

import hashlib
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import yaml

HOST = '127.0.0.1'
PORTS_PER_INSTANCE = 10
PEER_OFFSET = 1
CONTROL_OFFSET = 2
OPERATOR_OFFSET = 3
TARGET_OFFSET = 5
PLATFORM_OFFSET = -100


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """How many targets a service has and how many must stay in use."""

    name: str
    targets: int
    floor: int


@dataclass(frozen=True, slots=True)
class AccountSize:
    """An account's requests per second and burst; the name makes its key."""

    name: str
    rate: int
    burst: int


@dataclass(frozen=True, slots=True)
class RouteLine:
    """A route of an example."""

    method: str
    prefix: str
    service: str
    idempotent: bool = True
    open: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Example:
    """What distinguishes one organisation's deployment."""

    name: str
    region: str
    first_port: int
    zones: tuple[str, ...]
    services: tuple[ServiceSize, ...]
    routes: tuple[RouteLine, ...]
    accounts: tuple[AccountSize, ...]


FRESHWATER = Example(
    name='freshwater',
    region='great-lakes',
    first_port=21000,
    zones=('Duluth', 'Sheboygan', 'Erie', 'Kingston'),
    services=(
        ServiceSize('status', 8, 5),
        ServiceSize('booking', 11, 7),
        ServiceSize('payment', 8, 5),
    ),
    routes=(
        RouteLine('GET', '/status/', 'status'),
        RouteLine('GET', '/hours', 'status', open=True),
        RouteLine('GET', '/stock/', 'booking'),
        RouteLine('GET', '/schedules/', 'booking'),
        RouteLine('GET', '/bookings', 'booking'),
        RouteLine('POST', '/bookings', 'booking', idempotent=False),
        RouteLine('GET', '/payments', 'payment'),
        RouteLine('POST', '/payments', 'payment', idempotent=False),
    ),
    accounts=(
        AccountSize('members-app', 300, 150),
        AccountSize('shops-app', 200, 100),
        AccountSize('status-board', 150, 100),
        AccountSize('stock-lookup', 40, 40),
        AccountSize('duluth-shop', 10, 20),
        AccountSize('sheboygan-shop', 10, 20),
        AccountSize('erie-shop', 10, 20),
        AccountSize('kingston-shop', 10, 20),
    ),
)

SABARMATI = Example(
    name='sabarmati',
    region='gujarat',
    first_port=23000,
    zones=('Ahmedabad', 'Surat', 'Vadodara'),
    services=(
        ServiceSize('status', 9, 6),
        ServiceSize('booking', 12, 8),
        ServiceSize('billing', 6, 4),
    ),
    routes=(
        RouteLine('GET', '/status/', 'status'),
        RouteLine('GET', '/counters', 'status', open=True),
        RouteLine('GET', '/stock/', 'booking'),
        RouteLine('GET', '/prices/', 'billing'),
        RouteLine('GET', '/bookings', 'booking'),
        RouteLine('POST', '/bookings', 'booking', idempotent=False),
        RouteLine('GET', '/bills', 'billing'),
        RouteLine('POST', '/bills', 'billing', idempotent=False),
    ),
    accounts=(
        AccountSize('tailors-app', 300, 150),
        AccountSize('job-status', 200, 100),
        AccountSize('counters', 150, 100),
        AccountSize('price-lookup', 40, 40),
        AccountSize('maninagar-branch', 10, 20),
        AccountSize('katargam-branch', 10, 20),
        AccountSize('alkapuri-branch', 10, 20),
        AccountSize('navrangpura-branch', 10, 20),
    ),
)


def demo_key(account: str) -> str:
    """Return the key that an example gives to an account.

    :param account: name of the account.
    """
    return f'demo-{account}'


def render(example: Example) -> str:
    """Return the YAML text of an example.

    :param example: what to declare.
    """
    platform = _address(example, offset=PLATFORM_OFFSET)
    return '\n'.join(
        (
            f'# Example declaration; the platform stands on {platform}.',
            '# Keys for trials:',
            *(f'#   {demo_key(line.name)}' for line in example.accounts),
            yaml.safe_dump(_document(example), sort_keys=False),
        )
    )


def _document(example: Example) -> dict[str, object]:
    owners = tuple(_owners(example))
    return {
        'version': 1,
        'preset': 'ordinary',
        'presets': _presets(example),
        'services': {
            size.name: {'floor': size.floor} for size in example.services
        },
        'instances': {
            f'{example.name}-{index:02}': _instance(example, index)
            for index in range(len(owners))
        },
        'targets': {
            target: _target(example, index, service)
            for index, (target, service) in enumerate(owners)
        },
        'routes': [_route(line) for line in example.routes],
        'accounts': {
            line.name: _account(example, line) for line in example.accounts
        },
    }


def _owners(example: Example) -> Iterator[tuple[str, str]]:
    for size in example.services:
        for index in range(size.targets):
            yield f'{size.name}-{index:02}', size.name


def _presets(example: Example) -> dict[str, object]:
    floors = {size.name: size.floor + 1 for size in example.services}
    return {
        'ordinary': {'deadline': 10.0},
        'peak': {
            'deadline': 5.0,
            'queue_limit': 7,
            'retry_ratio': 0.05,
            'floors': floors,
        },
        'maintenance': {'deadline': 20.0, 'ejection': False},
    }


def _instance(example: Example, index: int) -> dict[str, object]:
    return {
        'zone': example.zones[index % len(example.zones)],
        'region': example.region,
        'caller': _address(example, index),
        'peer': _address(example, index, PEER_OFFSET),
        'control': _address(example, index, CONTROL_OFFSET),
        'operator': _address(example, index, OPERATOR_OFFSET),
    }


def _target(example: Example, index: int, service: str) -> dict[str, object]:
    return {
        'service': service,
        'instance': f'{example.name}-{index:02}',
        'address': _address(example, index, TARGET_OFFSET),
    }


def _route(line: RouteLine) -> dict[str, object]:
    return {
        'method': line.method,
        'prefix': line.prefix,
        'service': line.service,
        'idempotent': line.idempotent,
        'open': line.open,
    }


def _account(example: Example, line: AccountSize) -> dict[str, object]:
    digest = hashlib.sha256(demo_key(line.name).encode()).hexdigest()
    return {
        'key_digests': [digest],
        'rate': line.rate,
        'burst': line.burst,
        'services': [size.name for size in example.services],
    }


def _address(example: Example, index: int = 0, offset: int = 0) -> str:
    port = example.first_port + PORTS_PER_INSTANCE * index + offset
    return f'{HOST}:{port}'


def write_all(directory: Path) -> None:
    """Write every example into a directory.

    :param directory: an existing directory.
    """
    for example in (FRESHWATER, SABARMATI):
        path = directory / f'{example.name}.yaml'
        path.write_text(render(example), encoding='utf-8')


if __name__ == '__main__':
    write_all(Path(sys.argv[1]))

"""Writes the declarations of the two example deployments.

Run as ``python -m clementinedeal_bench._examples DIRECTORY``. The committed
files in ``examples/`` are its output.
"""

import hashlib
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import yaml

HOST = '127.0.0.1'
PORTS_PER_INSTANCE = 10
# offsets from the first port of an instance, its caller port
PEER_PORT_OFFSET = 1
CONTROL_PORT_OFFSET = 2
OPERATOR_PORT_OFFSET = 3
TARGET_PORT_OFFSET = 5
PLATFORM_PORT_OFFSET = -100  # from the first port of the deployment


@dataclass(frozen=True, slots=True)
class ExampleService:
    """A service of an example.

    :param name: name of the service.
    :param targets: number of its targets.
    :param floor: number of targets that must stay in use.
    """

    name: str
    targets: int
    floor: int


@dataclass(frozen=True, slots=True)
class ExampleAccount:
    """A client account of an example.

    :param name: name of the account, from which ``demo_key`` derives its key.
    :param rate: requests per second.
    :param burst: burst in requests.
    """

    name: str
    rate: int
    burst: int


@dataclass(frozen=True, slots=True)
class ExampleRoute:
    """A route of an example.

    :param method: HTTP method.
    :param prefix: prefix of the paths.
    :param service: name of the service.
    :param idempotent: whether a request may run more than once.
    :param open: whether requests need no key.
    """

    method: str
    prefix: str
    service: str
    idempotent: bool = True
    open: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Example:
    """What differs between the example deployments.

    Each target has an instance of its own; the instances are distributed evenly
    over the zones.

    :param name: name of the deployment, prefix of the instance names.
    :param region: region of all instances.
    :param first_port: caller port of the first instance; each instance has
        ``PORTS_PER_INSTANCE`` ports.
    :param zones: names of the availability zones.
    :param services: the services.
    :param routes: the routes.
    :param accounts: the client accounts, which may call every service.
    """

    name: str
    region: str
    first_port: int
    zones: tuple[str, ...]
    services: tuple[ExampleService, ...]
    routes: tuple[ExampleRoute, ...]
    accounts: tuple[ExampleAccount, ...]


FRESHWATER = Example(
    name='freshwater',
    region='great-lakes',
    first_port=21000,
    zones=('Duluth', 'Sheboygan', 'Erie', 'Kingston'),
    services=(
        ExampleService('status', 8, 5),
        ExampleService('booking', 11, 7),
        ExampleService('payment', 8, 5),
    ),
    routes=(
        ExampleRoute('GET', '/status/', 'status'),
        ExampleRoute('GET', '/hours', 'status', open=True),
        ExampleRoute('GET', '/stock/', 'booking'),
        ExampleRoute('GET', '/schedules/', 'booking'),
        ExampleRoute('GET', '/bookings', 'booking'),
        ExampleRoute('POST', '/bookings', 'booking', idempotent=False),
        ExampleRoute('GET', '/payments', 'payment'),
        ExampleRoute('POST', '/payments', 'payment', idempotent=False),
    ),
    accounts=(
        ExampleAccount('members-app', 300, 150),
        ExampleAccount('shops-app', 200, 100),
        ExampleAccount('status-board', 150, 100),
        ExampleAccount('stock-lookup', 40, 40),
        ExampleAccount('duluth-shop', 10, 20),
        ExampleAccount('sheboygan-shop', 10, 20),
        ExampleAccount('erie-shop', 10, 20),
        ExampleAccount('kingston-shop', 10, 20),
    ),
)

SABARMATI = Example(
    name='sabarmati',
    region='gujarat',
    first_port=23000,
    zones=('Ahmedabad', 'Surat', 'Vadodara'),
    services=(
        ExampleService('status', 9, 6),
        ExampleService('booking', 12, 8),
        ExampleService('billing', 6, 4),
    ),
    routes=(
        ExampleRoute('GET', '/status/', 'status'),
        ExampleRoute('GET', '/counters', 'status', open=True),
        ExampleRoute('GET', '/stock/', 'booking'),
        ExampleRoute('GET', '/prices/', 'billing'),
        ExampleRoute('GET', '/bookings', 'booking'),
        ExampleRoute('POST', '/bookings', 'booking', idempotent=False),
        ExampleRoute('GET', '/bills', 'billing'),
        ExampleRoute('POST', '/bills', 'billing', idempotent=False),
    ),
    accounts=(
        ExampleAccount('tailors-app', 300, 150),
        ExampleAccount('job-status', 200, 100),
        ExampleAccount('counters', 150, 100),
        ExampleAccount('price-lookup', 40, 40),
        ExampleAccount('maninagar-branch', 10, 20),
        ExampleAccount('katargam-branch', 10, 20),
        ExampleAccount('alkapuri-branch', 10, 20),
        ExampleAccount('navrangpura-branch', 10, 20),
    ),
)


def demo_key(account: str) -> str:
    """Return the key of an account of an example.

    :param account: name of the account.
    """
    return f'demo-{account}'


def render(example: Example) -> str:
    """Return the YAML text of an example.

    :param example: the deployment to declare.
    """
    platform = _address(example, offset=PLATFORM_PORT_OFFSET)
    return '\n'.join(
        (
            f'# Example declaration; the platform stands on {platform}.',
            '# Keys for trials:',
            *(f'#   {demo_key(account.name)}' for account in example.accounts),
            yaml.safe_dump(_document(example), sort_keys=False),
        )
    )


def _document(example: Example) -> dict[str, object]:
    targets = tuple(_targets_with_service(example))
    return {
        'version': 1,
        'preset': 'ordinary',
        'presets': _presets(example),
        'services': {
            example_service.name: {'floor': example_service.floor}
            for example_service in example.services
        },
        'instances': {
            f'{example.name}-{index:02}': _instance(example, index)
            for index in range(len(targets))
        },
        'targets': {
            target: _target(example, index, service)
            for index, (target, service) in enumerate(targets)
        },
        'routes': [_route(route) for route in example.routes],
        'accounts': {
            account.name: _account(example, account)
            for account in example.accounts
        },
    }


def _targets_with_service(example: Example) -> Iterator[tuple[str, str]]:
    for service in example.services:
        for index in range(service.targets):
            yield f'{service.name}-{index:02}', service.name


def _presets(example: Example) -> dict[str, object]:
    floors = {service.name: service.floor + 1 for service in example.services}
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
        'peer': _address(example, index, PEER_PORT_OFFSET),
        'control': _address(example, index, CONTROL_PORT_OFFSET),
        'operator': _address(example, index, OPERATOR_PORT_OFFSET),
    }


def _target(example: Example, index: int, service: str) -> dict[str, object]:
    return {
        'service': service,
        'instance': f'{example.name}-{index:02}',
        'address': _address(example, index, TARGET_PORT_OFFSET),
    }


def _route(route: ExampleRoute) -> dict[str, object]:
    return {
        'method': route.method,
        'prefix': route.prefix,
        'service': route.service,
        'idempotent': route.idempotent,
        'open': route.open,
    }


def _account(example: Example, account: ExampleAccount) -> dict[str, object]:
    digest = hashlib.sha256(demo_key(account.name).encode()).hexdigest()
    return {
        'key_digests': [digest],
        'rate': account.rate,
        'burst': account.burst,
        'services': [service.name for service in example.services],
    }


def _address(example: Example, index: int = 0, offset: int = 0) -> str:
    port = example.first_port + PORTS_PER_INSTANCE * index + offset
    return f'{HOST}:{port}'


def write_examples(directory: Path) -> None:
    """Write every example into a directory.

    :param directory: an existing directory; files in it are replaced.
    """
    for example in (FRESHWATER, SABARMATI):
        path = directory / f'{example.name}.yaml'
        path.write_text(render(example), encoding='utf-8')


if __name__ == '__main__':
    write_examples(Path(sys.argv[1]))

"""Generated configurations of any size, for trials and tests."""

import hashlib

from clementinedeal._model import (
    Account,
    Config,
    Instance,
    Preset,
    PresetName,
    Route,
    Service,
    Target,
)

REGION_COUNT = 2
ZONES_PER_REGION = 4
TARGETS_PER_SERVICE = 16
SERVICES_PER_ACCOUNT = 3
# Generated addresses use these ports of one host address, then of the next.
FIRST_PORT = 1024
PORTS_PER_HOST = 60_000


def large_config(
    *,
    accounts: int,
    routes: int,
    targets: int,
    instances: int,
    version: int = 1,
) -> Config:
    """Return a valid configuration; equal arguments give equal ones.

    Account number N has the key ``str(N)``.

    :param accounts: number of client accounts, with one key each.
    :param routes: number of routes, spread evenly over the services.
    :param targets: number of targets, spread evenly over services and
        instances.
    :param instances: number of instances, spread evenly over the zones.
    :param version: version of the configuration.
    """
    services = [
        f'service-{index:03}'
        for index in range(max(1, targets // TARGETS_PER_SERVICE))
    ]
    return Config(
        version=version,
        preset=PresetName.ORDINARY,
        presets={name: Preset(name=name) for name in PresetName},
        services={
            service: Service(name=service, floor=0) for service in services
        },
        targets={
            target.name: target
            for target in _make_targets(targets, services, instances)
        },
        routes=tuple(
            Route(
                method='GET',
                prefix=f'/api/{index}/',
                service=services[index % len(services)],
                idempotent=True,
            )
            for index in range(routes)
        ),
        accounts={
            account.name: account
            for account in _make_accounts(accounts, services)
        },
        instances={
            instance.name: instance
            for instance in map(_make_instance, range(instances))
        },
    )


def _make_targets(
    count: int, services: list[str], instances: int
) -> list[Target]:
    return [
        Target(
            name=f'target-{index:04}',
            service=services[index % len(services)],
            instance=f'instance-{index % instances:03}',
            address=_address('10.8', index),
        )
        for index in range(count)
    ]


def _make_accounts(count: int, services: list[str]) -> list[Account]:
    return [
        Account(
            name=f'account-{index:05}',
            key_digests=(hashlib.sha256(str(index).encode()).hexdigest(),),
            rate=10,
            burst=20,
            services=tuple(
                services[(index + step) % len(services)]
                for step in range(min(SERVICES_PER_ACCOUNT, len(services)))
            ),
        )
        for index in range(count)
    ]


def _make_instance(index: int) -> Instance:
    zone = index % (REGION_COUNT * ZONES_PER_REGION)
    return Instance(
        name=f'instance-{index:03}',
        zone=f'zone-{zone}',
        region=f'region-{zone // ZONES_PER_REGION}',
        caller=_address('10.1', index),
        peer=_address('10.2', index),
        control=_address('10.3', index),
        operator=_address('10.4', index),
    )


def _address(network_prefix: str, index: int) -> str:
    host, port_index = divmod(index, PORTS_PER_HOST)
    return f'{network_prefix}.{host}.1:{FIRST_PORT + port_index}'

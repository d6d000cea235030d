"""The configuration with which added latency is measured."""

import hashlib

from clementinedeal import (
    Account,
    Config,
    Instance,
    Preset,
    PresetName,
    Route,
    Service,
    Target,
)

ENTRY = 'entry'
OWNER = 'owner'
ONE_HOP = 'near'  # names the target beside the entry and its service
TWO_HOPS = 'far'  # names the target beside the owner and its service
ACCOUNT_RATE = 100_000.0  # high enough that no request is refused


def build_config(base_port: int, key: str) -> Config:
    """Return two instances in two zones, with a target and a service each.

    :param base_port: first port; instances and targets use 16 ports from it.
    :param key: key of the only account.
    """
    account = Account(
        name='bench',
        key_digests=(hashlib.sha256(key.encode()).hexdigest(),),
        rate=ACCOUNT_RATE,
        burst=ACCOUNT_RATE,
        services=(ONE_HOP, TWO_HOPS),
    )
    return Config(
        version=1,
        preset=PresetName.ORDINARY,
        presets={name: Preset(name=name) for name in PresetName},
        services={
            name: Service(name=name, floor=1) for name in (ONE_HOP, TWO_HOPS)
        },
        targets={
            ONE_HOP: _make_target(ONE_HOP, ENTRY, base_port + 5),
            TWO_HOPS: _make_target(TWO_HOPS, OWNER, base_port + 15),
        },
        routes=tuple(
            Route(
                method='GET',
                prefix=f'/{name}/',
                service=name,
                idempotent=True,
            )
            for name in (ONE_HOP, TWO_HOPS)
        ),
        accounts={account.name: account},
        instances={
            ENTRY: _make_instance(ENTRY, base_port),
            OWNER: _make_instance(OWNER, base_port + 10),
        },
    )


def _make_target(name: str, instance: str, port: int) -> Target:
    return Target(
        name=name,
        service=name,
        instance=instance,
        address=f'127.0.0.1:{port}',
    )


def _make_instance(name: str, port: int) -> Instance:
    return Instance(
        name=name,
        zone=f'zone-{name}',
        region='bench',
        caller=f'127.0.0.1:{port}',
        peer=f'127.0.0.1:{port + 1}',
        control=f'127.0.0.1:{port + 2}',
        operator=f'127.0.0.1:{port + 3}',
    )

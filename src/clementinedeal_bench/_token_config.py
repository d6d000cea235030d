"""Configurations with one client account, for trials of its tokens.

A token admits one request of the account.
"""

from clementinedeal._model import (
    Account,
    Config,
    Instance,
    Preset,
    PresetName,
    Service,
    Target,
)

ACCOUNT_NAME = 'a'
ZONE_COUNT = 3


def make_config(rate: float, burst: float, daemon_count: int) -> Config:
    """Return a configuration with one account and a target per instance.

    :param rate: rate of the account, in requests per second.
    :param burst: burst of the account, in requests.
    :param daemon_count: number of instances.
    """
    names = [f'i{index}' for index in range(daemon_count)]
    service = Service(name='s', floor=0)
    return Config(
        version=1,
        preset=PresetName.ORDINARY,
        presets={PresetName.ORDINARY: Preset(name=PresetName.ORDINARY)},
        services={service.name: service},
        targets={
            name: Target(
                name=name, service=service.name, instance=name, address=''
            )
            for name in names
        },
        routes=(),
        accounts={
            ACCOUNT_NAME: Account(
                name=ACCOUNT_NAME,
                key_digests=(),
                rate=rate,
                burst=burst,
                services=(service.name,),
            ),
        },
        instances={
            name: make_instance(name, index % ZONE_COUNT)
            for index, name in enumerate(names)
        },
    )


def make_instance(name: str, zone: int) -> Instance:
    """Return an instance without addresses.

    :param name: instance name.
    :param zone: number of its availability zone.
    """
    return Instance(
        name=name,
        zone=f'z{zone}',
        region='r',
        caller='',
        peer='',
        control='',
        operator='',
    )

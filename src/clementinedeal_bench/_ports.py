"""Moves a declaration to other ports."""

from dataclasses import replace

from clementinedeal import Config
from clementinedeal_bench._webclient import split_address


def shift_address(address: str, offset: int) -> str:
    """Add to the port of an address.

    :param address: ``ip:port``.
    :param offset: what to add.
    """
    host, port = split_address(address)
    return f'{host}:{port + offset}'


def shift_ports(cfg: Config, offset: int) -> Config:
    """Add to every port of a configuration.

    :param cfg: the configuration.
    :param offset: what to add.
    """
    instances = {
        name: replace(
            each,
            caller=shift_address(each.caller, offset),
            peer=shift_address(each.peer, offset),
            control=shift_address(each.control, offset),
            operator=shift_address(each.operator, offset),
        )
        for name, each in cfg.instances.items()
    }
    targets = {
        name: replace(target, address=shift_address(target.address, offset))
        for name, target in cfg.targets.items()
    }
    return replace(cfg, instances=instances, targets=targets)

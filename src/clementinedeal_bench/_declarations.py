"""Reads and writes declarations, and shifts their ports.

A declaration is the YAML file from which a configuration is built.
"""

from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import yaml
from result import Err

from clementinedeal import Config
from clementinedeal._declaration import check_file
from clementinedeal_bench._web_client import split_address


def read_declaration(path: str) -> Config:
    """Read a declaration and return its configuration.

    :param path: path of the YAML file.
    :raises ClementinedealError: the declaration is not valid.
    """
    result = check_file(path)
    if isinstance(result, Err):
        raise result.err_value
    return result.ok_value


def write_declaration(cfg: Config, path: Path) -> None:
    """Write a configuration as a declaration.

    :param cfg: the configuration.
    :param path: path of the YAML file.
    """
    document: dict[str, Any] = msgspec.to_builtins(cfg, str_keys=True)
    for section in ('presets', 'services', 'instances', 'targets', 'accounts'):
        for entry in document[section].values():
            entry.pop('name')
    path.write_text(yaml.safe_dump(document, sort_keys=False))


def shift_address(address: str, offset: int) -> str:
    """Return an address with an offset added to its port.

    :param address: ``ip:port``.
    :param offset: number to add.
    """
    host, port = split_address(address)
    return f'{host}:{port + offset}'


def shift_ports(cfg: Config, offset: int) -> Config:
    """Return a configuration with an offset added to every port.

    :param cfg: the configuration.
    :param offset: number to add.
    """
    instances = {
        name: replace(
            instance,
            caller=shift_address(instance.caller, offset),
            peer=shift_address(instance.peer, offset),
            control=shift_address(instance.control, offset),
            operator=shift_address(instance.operator, offset),
        )
        for name, instance in cfg.instances.items()
    }
    targets = {
        name: replace(target, address=shift_address(target.address, offset))
        for name, target in cfg.targets.items()
    }
    return replace(cfg, instances=instances, targets=targets)

"""Reads the YAML file in which operators declare a configuration."""

from typing import TypeVar

from result import Err, Ok, Result

from clementinedeal._document import YamlEntry, read_document
from clementinedeal._errors import SettingsError
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
from clementinedeal._validation import find_fault

KindT = TypeVar('KindT')

_SECTIONS = (
    'version',
    'preset',
    'presets',
    'services',
    'instances',
    'targets',
    'routes',
    'accounts',
)


def check_file(path: str) -> Result[Config, SettingsError]:
    """Read and validate a declaration.

    :param path: path of the YAML file.
    """
    try:
        top = read_document(path)
        cfg = _read(top)
    except SettingsError as exc:
        return Err(exc)
    fault = find_fault(cfg)
    if fault is not None:
        return Err(top.error(fault.reason, fault.path))
    return Ok(cfg)


def _read(top: YamlEntry) -> Config:
    entries = top.fields(_SECTIONS)
    return Config(
        version=_convert(entries['version'], int),
        preset=_convert(entries['preset'], PresetName),
        presets=_read_presets(entries['presets']),
        services=_read_named(entries['services'], Service),
        targets=_read_named(entries['targets'], Target),
        routes=tuple(
            entry.build(Route) for entry in entries['routes'].sequence()
        ),
        accounts=_read_named(entries['accounts'], Account),
        instances=_read_named(entries['instances'], Instance),
    )


def _read_named(entry: YamlEntry, kind: type[KindT]) -> dict[str, KindT]:
    return {
        name: child.build(kind, name=name)
        for name, child in entry.mapping().items()
    }


def _read_presets(entry: YamlEntry) -> dict[PresetName, Preset]:
    names = tuple(name.value for name in PresetName)
    return {
        PresetName(name): child.build(Preset, name=name)
        for name, child in entry.fields(names).items()
    }


def _convert(entry: YamlEntry, kind: type[KindT]) -> KindT:
    return entry.convert(entry.raw, kind)

"""Frozen data classes of the published configuration."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class PresetName(enum.Enum):
    """The three presets; exactly one is in force."""

    ORDINARY = 'ordinary'
    PEAK = 'peak'
    MAINTENANCE = 'maintenance'


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One daemon of the fleet and where it listens (``ip:port``)."""

    name: str
    zone: str
    region: str
    caller: str
    peer: str
    control: str
    operator: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One process of a service; only the daemon on ``instance`` calls it."""

    name: str
    service: str
    instance: str
    address: str
    slots: int = 7
    connections: int = 360


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of equivalent targets.

    ``floor`` is the number of targets that ejection must leave in use.
    """

    name: str
    floor: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps a method and a path prefix to a service.

    ``method`` is ``*`` for any. ``open`` routes need no key. The longest
    matching prefix wins; an exact method goes before ``*``.
    """

    method: str
    prefix: str
    service: str
    idempotent: bool
    open: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account.

    ``key_digests`` are lower-case hex SHA-256 digests of its keys, ``rate``
    is in requests per second over the whole fleet, ``burst`` in requests.
    """

    name: str
    key_digests: tuple[str, ...]
    rate: float
    burst: float
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Preset:
    """Settings that an operator switches as one.

    Times are in seconds. ``retry_ratio`` is the budget of retries as a share
    of first attempts. ``floors`` overrides a service's floor by name.
    """

    name: PresetName
    deadline: float = 10.0
    queue_limit: int = 14
    retry_ratio: float = 0.1
    max_attempts: int = 3
    hedge_after: float = 0.0
    ejection: bool = True
    floors: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Config:
    """One whole, checked version of the published configuration."""

    version: int
    preset: PresetName
    presets: Mapping[PresetName, Preset]
    services: Mapping[str, Service]
    targets: Mapping[str, Target]
    routes: tuple[Route, ...]
    accounts: Mapping[str, Account]
    instances: Mapping[str, Instance]

    @property
    def active_preset(self) -> Preset:
        """Return the preset in force."""
        return self.presets[self.preset]

    def floor(self, service: str) -> int:
        """Return the floor of a service under the preset in force."""
        return self.active_preset.floors.get(
            service, self.services[service].floor
        )

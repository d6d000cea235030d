"""Immutable data classes of the published configuration.

They are encoded under their field names, both in the published values and in
the operators' YAML files.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class PresetName(enum.Enum):
    """Names of the three presets; exactly one preset is in force."""

    ORDINARY = 'ordinary'
    PEAK = 'peak'
    MAINTENANCE = 'maintenance'


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One daemon of the fleet.

    ``caller``, ``peer``, ``control`` and ``operator`` are the addresses on
    which it listens for callers, for requests and control messages of other
    daemons, and for operators, all ``ip:port``.
    """

    name: str
    zone: str
    region: str
    caller: str
    peer: str
    control: str
    operator: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A process that serves requests of one service.

    Only the daemon on ``instance``, its owner, calls it. ``address`` is
    ``ip:port``. ``slots`` is the number of requests that it may run at the
    same time, ``connections`` the number of connections that it accepts.
    """

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

    ``method`` is an upper-case HTTP method or ``*`` for any. Requests on an
    ``open`` route need no key. Those on an ``idempotent`` route may be sent
    again. The longest matching prefix applies; for the same prefix, an exact
    method takes precedence over ``*``.
    """

    method: str
    prefix: str
    service: str
    idempotent: bool
    open: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account.

    ``key_digests`` are lower-case hex SHA-256 digests of its API keys.
    ``rate`` is in requests per second and ``burst`` in requests, both over the
    whole fleet. ``services`` names the services that it may call.
    """

    name: str
    key_digests: tuple[str, ...]
    rate: float
    burst: float
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Preset:
    """Settings that an operator switches together.

    ``deadline`` is the time in seconds that a request may take; callers may
    ask for less. ``queue_limit`` is the number of requests that may wait for
    one target, ``retry_ratio`` the budget of retries as a fraction of first
    attempts, ``max_attempts`` the largest number of attempts of a request.
    ``hedge_after`` is the seconds after which a second attempt of an
    idempotent request may be sent, 0 for never. ``ejection`` allows targets to
    be ejected. ``floors`` replaces the floors of services, by service name.
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
    """One version of the published configuration.

    ``preset`` names the preset in force. Presets, services, targets, accounts
    and instances are keyed by name.
    """

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
        """Return the floor of a service under the preset in force.

        :param service: name of the service.
        """
        return self.active_preset.floors.get(
            service, self.services[service].floor
        )

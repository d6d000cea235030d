"""What keeping the view of the fleet asks of the transport."""

from dataclasses import dataclass

from clementinedeal._model import Config


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The platform's lagging list of instance names."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Action: read a value by name, then report it or the failure."""

    name: str


@dataclass(frozen=True, slots=True)
class WatchRoot:
    """Action: wait for a root above a version.

    After ``seconds`` the platform answers that there is none.
    """

    after_version: int
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Action: reach an instance that no held configuration names here."""

    instance: str
    control: str


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """Action: work by this configuration from now on."""

    cfg: Config


@dataclass(frozen=True, slots=True)
class ConfigRejected:
    """Action: tell operators that a version was refused, the old one stays."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class InstanceLeaving:
    """Action: give an instance no new work."""

    instance: str


@dataclass(frozen=True, slots=True)
class InstanceLeft:
    """Action: an instance is no longer heard or no longer published."""

    instance: str

"""Actions of the fleet view and the platform's list of instances."""

from dataclasses import dataclass

from clementinedeal._model import Config


@dataclass(frozen=True, slots=True)
class InstanceList:
    """Names of instances as the platform lists them; may be out of date."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Action: read a value of the platform and report it or the failure."""

    name: str


@dataclass(frozen=True, slots=True)
class WatchRoot:
    """Action: wait for a root with a version above ``after_version``.

    After ``timeout_seconds`` the platform answers that there is none.
    """

    after_version: int
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Action: use this address of an instance that is not published here.

    ``control`` is the control address of the instance.
    """

    instance: str
    control: str


@dataclass(frozen=True, slots=True)
class ConfigInForce:
    """Action: apply this configuration from now on."""

    cfg: Config


@dataclass(frozen=True, slots=True)
class ConfigRejected:
    """Action: report a rejected version; the old one stays in force."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class InstanceLeaving:
    """Action: record that an instance takes no new requests."""

    instance: str


@dataclass(frozen=True, slots=True)
class InstanceLeft:
    """Action: record that an instance is silent or no longer published."""

    instance: str

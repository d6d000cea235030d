"""Reads the settings file that the platform provides for each process."""

import os
import tomllib

import msgspec
from result import Err, Ok, Result

from clementinedeal._addresses import is_address
from clementinedeal._errors import SettingsError
from clementinedeal.mesh._settings import Bounds, MeshDaemonSettings

BYTES_PER_MB = 1_000_000
NODE_FILE_VARIABLE = 'CLEMENTINEDEAL_NODE_FILE'
# The contract by which zones are evacuated and requests bound to regions.
_PLACES = 'places'


class _Listen(msgspec.Struct):
    """Addresses to listen at, ``ip:port``.

    ``inbound`` is for other daemons, ``outbound`` for callers of the
    instance, ``ready`` for the platform's ready check.
    """

    inbound: str
    outbound: str
    ready: str


class _Bounds(msgspec.Struct):
    """Limits that the operators set for the fleet.

    :param revoke_s: seconds after which a withdrawn API key must be refused.
    :param config_s: seconds after which a published configuration must be in
        force.
    :param drain_s: seconds after which a leaving target must get no request.
    :param retry_ratio: retries that the fleet may send for each request to a
        service, within a window.
    :param retry_window_s: length of that window in seconds.
    :param retry_slack: retries that the fleet may send in addition in each
        window.
    :param grace_s: seconds from the stop signal until the process is killed.
    :param quota_over: fraction by which an account may exceed its rate and
        burst.
    :param quota_slack: requests by which it may exceed them in addition.
    :param quota_window_s: seconds over which that is measured.
    :param evacuate_s: seconds after which the targets of an evacuated
        availability zone must get no request.
    """

    revoke_s: float = 5.0
    config_s: float = 2.0
    drain_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 60.0
    grace_s: float = 6.0
    quota_over: float = 0.0
    quota_slack: float = 0.0
    quota_window_s: float = 5.0
    evacuate_s: float | None = None


class _Limits(msgspec.Struct):
    """Limits of the process; the defaults are those of the smallest machine.

    :param memory_mb: megabytes of memory beyond which it is killed.
    :param max_fds: how many descriptors it may have open.
    :param link_mbps: rate of the machine's link in Mbit/s, 0 if not named.
    """

    memory_mb: float = 200
    max_fds: int = 4100
    link_mbps: float = 0


class _Platform(msgspec.Struct):
    """The platform's store; ``address`` is its ``ip:port``."""

    address: str


class _Node(msgspec.Struct):
    """The whole file.

    ``node`` is the name of the instance, ``zone`` its availability zone.
    ``app_addr`` is the ``ip:port`` of its target, which runs ``service``.
    ``port_range`` holds the first and last port that the daemon may use
    besides those of ``listen``. ``contracts`` names the parts of the rules that
    are in force, ``zones`` the region of each availability zone.
    """

    node: str
    zone: str
    app_addr: str
    service: str
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Platform
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    contracts: tuple[str, ...] = ()
    zones: dict[str, str] = {}


def node_path() -> str:
    """Return the path of the settings file; empty if none is named."""
    return os.environ.get(NODE_FILE_VARIABLE, '')


def load_node(path: str) -> Result[MeshDaemonSettings, SettingsError]:
    """Read and check the platform's settings file.

    :param path: path of the TOML file.
    :return: the settings, or an error that names the field.
    """
    try:
        with open(path, 'rb') as stream:
            node = msgspec.convert(tomllib.load(stream), _Node)
    except msgspec.ValidationError as exc:
        return Err(_settings_error(path, str(exc)))
    except (OSError, ValueError) as exc:
        return Err(SettingsError(file=path, path='.', reason=str(exc)))
    addresses = {
        'listen.inbound': node.listen.inbound,
        'listen.outbound': node.listen.outbound,
        'listen.ready': node.listen.ready,
        'platform.address': node.platform.address,
        'app_addr': node.app_addr,
    }
    for name, address in addresses.items():
        if not is_address(address):
            reason = f'{address!r} is not ip:port'
            return Err(SettingsError(file=path, path=name, reason=reason))
    return Ok(_convert(node))


def _convert(node: _Node) -> MeshDaemonSettings:
    bounds = node.bounds
    has_places = _PLACES in node.contracts
    return MeshDaemonSettings(
        instance=node.node,
        zone=node.zone,
        caller_address=node.listen.outbound,
        peer_address=node.listen.inbound,
        ready_address=node.listen.ready,
        target_address=node.app_addr,
        service=node.service,
        platform_address=node.platform.address,
        port_range=node.port_range,
        zone_regions=node.zones if has_places else None,
        memory_bytes=int(node.limits.memory_mb * BYTES_PER_MB),
        max_descriptors=node.limits.max_fds,
        link_mbps=node.limits.link_mbps,
        bounds=Bounds(
            revoke_seconds=bounds.revoke_s,
            config_seconds=bounds.config_s,
            drain_seconds=bounds.drain_s,
            retry_ratio=bounds.retry_ratio,
            retry_window=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            stop_seconds=bounds.grace_s,
            allowance_over=bounds.quota_over,
            allowance_slack=bounds.quota_slack,
            allowance_window=bounds.quota_window_s,
            evacuate_seconds=bounds.evacuate_s if has_places else None,
        ),
    )


def _settings_error(path: str, text: str) -> SettingsError:
    """Split msgspec's message into the field and what is wrong with it."""
    reason, _, field = text.partition(' - at `$')
    return SettingsError(
        file=path,
        path=field.strip('.`') or '.',
        reason=reason,
    )

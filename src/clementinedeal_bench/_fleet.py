"""Launches a whole deployment on loopback, as processes.

A fleet is the platform stand-in, the stand-in targets and the daemons of one
declaration.
"""

import secrets
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import trio
import yaml

from clementinedeal import Config, Instance, Target
from clementinedeal_bench._processes import Processes
from clementinedeal_bench._publisher import LIVE, Publisher
from clementinedeal_bench._status_reader import await_ready, gather
from clementinedeal_bench._web_client import split_address

READY_TIMEOUT_SECONDS = 20.0
FLEET_KEY_BYTES = 32
PLATFORM_NAME = 'platform'


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """How a fleet is launched.

    :param folder: folder for logs and settings files.
    :param platform_address: ``ip:port`` of the platform stand-in.
    :param has_daemons: whether daemons are started, not only stand-ins.
    :param max_parallel_starts: processes that start at once.
    :param service_seconds: median service time of the targets.
    :param service_time_sigma: standard deviation of the logarithm of the
        service time; 0 makes all service times equal.
    :param log_level: log level of the daemons.
    """

    folder: Path
    platform_address: str = '127.0.0.1:20900'
    has_daemons: bool = True
    max_parallel_starts: int = 27
    service_seconds: float = 0.022
    service_time_sigma: float = 0.3
    log_level: str = 'warning'


class Fleet:
    """The processes of one deployment, by instance or target name."""

    def __init__(self, cfg: Config, settings: FleetSettings) -> None:
        """Create a fleet without processes.

        :param cfg: the configuration to launch and to publish.
        :param settings: how to launch it.
        """
        self.cfg = cfg
        self._settings = settings
        self._fleet_key = secrets.token_hex(FLEET_KEY_BYTES)
        self._processes = Processes(_ensure_folder(settings.folder / 'logs'))
        self._settings_folder = _ensure_folder(settings.folder / 'settings')
        self.publisher = Publisher(settings.platform_address)
        self._ended_names: set[str] = set()

    async def start(self) -> None:
        """Start all processes and wait until they serve.

        :raises BenchError: a process has ended or is not ready in time.
        """
        await self._start_platform()
        await self.publisher.publish(self.cfg)
        await self.publisher.publish_instance_list(
            dict.fromkeys(self.cfg.instances, LIVE),
        )
        await self._start_processes(
            (name, self._target_args(target), target.address, '/load')
            for name, target in self.cfg.targets.items()
        )
        if self._settings.has_daemons:
            await self._start_daemons()

    def live_instances(self) -> list[Instance]:
        """Return the instances whose daemons were not killed or stopped."""
        return [
            instance
            for name, instance in self.cfg.instances.items()
            if name not in self._ended_names
        ]

    def live_targets(self) -> list[Target]:
        """Return the targets that were not killed or stopped."""
        return [
            target
            for name, target in self.cfg.targets.items()
            if name not in self._ended_names
        ]

    def kill(self, name: str) -> None:
        """Kill a daemon or target with SIGKILL.

        :param name: name of the instance or target.
        """
        self._ended_names.add(name)
        self._processes.kill(name)

    async def stop(self, name: str) -> bool:
        """Stop a daemon or target; return True if it exited with 0 in time.

        :param name: name of the instance or target.
        """
        self._ended_names.add(name)
        return await self._processes.stop(name)

    async def restart_daemon(self, name: str) -> None:
        """Start a daemon again and wait until it serves.

        :param name: name of the instance.
        """
        instance = self.cfg.instances[name]
        args = self._daemon_args(instance)
        await self._start_process(name, args, instance.operator, '/healthz')
        self._ended_names.discard(name)

    def pid(self, name: str) -> int:
        """Return the process id of a daemon or target.

        :param name: name of the instance or target.
        """
        return self._processes.pid(name)

    def close(self) -> None:
        """Kill every process that still runs."""
        self.publisher.close()
        self._processes.kill_all()

    async def _start_platform(self) -> None:
        address = self._settings.platform_address
        host, port = split_address(address)
        args = _bench_command('platform', host=host, port=port)
        await self._start_process(
            PLATFORM_NAME, args, address, '/operator/counters'
        )

    async def _start_daemons(self) -> None:
        instances = self.cfg.instances
        await self._start_processes(
            (name, self._daemon_args(instance), instance.operator, '/status')
            for name, instance in instances.items()
        )
        # A daemon serves only after it has received messages of other daemons,
        # so all of them are started before this wait.
        await gather(self._await_serving, instances.values())

    async def _await_serving(self, instance: Instance) -> None:
        await self._await_answer(instance.name, instance.operator, '/healthz')

    async def _start_processes(
        self,
        starts: Iterable[tuple[str, list[str], str, str]],
    ) -> None:
        """Start processes, up to ``max_parallel_starts`` at once.

        :param starts: name, command line, address, and path to poll until the
            process is ready.
        """
        limit = trio.CapacityLimiter(self._settings.max_parallel_starts)

        async def start_limited(*start_args: object) -> None:  # noqa: WPS430
            async with limit:
                await self._start_process(*start_args)  # type: ignore[arg-type]

        async with trio.open_nursery() as nursery:
            for args in starts:
                nursery.start_soon(start_limited, *args)

    async def _start_process(
        self,
        name: str,
        args: list[str],
        address: str,
        path: str,
    ) -> None:
        self._processes.start(name, args)
        await self._await_answer(name, address, path)

    async def _await_answer(self, name: str, address: str, path: str) -> None:
        check_running = partial(self._processes.check_running, name)
        await await_ready(address, path, READY_TIMEOUT_SECONDS, check_running)

    def _target_args(self, target: Target) -> list[str]:
        host, port = split_address(target.address)
        return _bench_command(
            'target',
            name=target.name,
            host=host,
            port=port,
            slots=target.slots,
            connections=target.connections,
            service=self._settings.service_seconds,
            sigma=self._settings.service_time_sigma,
            seed=port,
        )

    def _daemon_args(self, instance: Instance) -> list[str]:
        file = self._settings_folder / f'{instance.name}.yaml'
        file.write_text(yaml.safe_dump(self._daemon_settings(instance)))
        return [
            *(sys.executable, '-m', 'clementinedeal', 'daemon'),
            f'--settings={file}',
            f'--log_level={self._settings.log_level}',
        ]

    def _daemon_settings(self, instance: Instance) -> dict[str, object]:
        return {
            'instance': instance.name,
            'zone': instance.zone,
            'region': instance.region,
            'caller': instance.caller,
            'peer': instance.peer,
            'control': instance.control,
            'operator': instance.operator,
            'platform': [self._settings.platform_address],
            'fleet_keys': {'bench': self._fleet_key},
        }


def _bench_command(command: str, **values: object) -> list[str]:
    pairs = [f'--{name}={text}' for name, text in values.items()]
    return [sys.executable, '-m', 'clementinedeal_bench', command, *pairs]


def _ensure_folder(folder: Path) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    return folder

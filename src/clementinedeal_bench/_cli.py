"""Command line ``clementinedeal-bench``: each command and its flags.

The names and defaults of the flags are part of the command line's interface.
"""

import functools
import sys
from pathlib import Path

import msgspec
import trio
from absl import flags
from result import Err

from clementinedeal import Config
from clementinedeal_bench._call_records import CallRecord
from clementinedeal_bench._caller import Caller
from clementinedeal_bench._commands import Command, run_commands
from clementinedeal_bench._declarations import (
    read_declaration,
    shift_address,
)
from clementinedeal_bench._demo import Demo, DemoSettings
from clementinedeal_bench._errors import BenchError
from clementinedeal_bench._fleet import FleetSettings
from clementinedeal_bench._latency import LatencyRun, LatencySettings
from clementinedeal_bench._platform import PlatformSettings
from clementinedeal_bench._platform_server import serve_platform
from clementinedeal_bench._publisher import LIVE, Publisher
from clementinedeal_bench._scenario import load_scenario
from clementinedeal_bench._summary import by_account_and_service, summarize
from clementinedeal_bench._target import TargetSettings, serve_target

PLATFORM_PORT = 20_900
TARGET_PORT = 20_990
PLATFORM_ADDRESS = f'127.0.0.1:{PLATFORM_PORT}'
LATENCY_BASE_PORT = 24_000
PLATFORM_PORT_OFFSET = 90  # from the base port of a latency run
EXAMPLE_DECLARATION = 'examples/freshwater.yaml'


def _define_platform(values: flags.FlagValues) -> None:
    define_integer = functools.partial(flags.DEFINE_integer, flag_values=values)
    flags.DEFINE_string(
        'host', '127.0.0.1', 'address to listen on', flag_values=values
    )
    define_integer('port', PLATFORM_PORT, 'port to listen on')
    flags.DEFINE_float(
        'lag', 0, 'delay of the instance list in seconds', flag_values=values
    )


def _run_platform(values: flags.FlagValues, _positional: list[str]) -> None:
    settings = PlatformSettings(lag=values.lag)
    trio.run(serve_platform, values.host, values.port, settings)


def _define_target(values: flags.FlagValues) -> None:
    define_string = functools.partial(flags.DEFINE_string, flag_values=values)
    define_integer = functools.partial(flags.DEFINE_integer, flag_values=values)
    define_float = functools.partial(flags.DEFINE_float, flag_values=values)
    define_string('name', 'target', 'name in answers and execution records')
    define_string('host', '127.0.0.1', 'address to listen on')
    define_integer('port', TARGET_PORT, 'port to listen on')
    define_integer('slots', 7, 'requests served at once')
    define_integer('queue', 7, 'requests that may wait for a slot')
    define_integer('connections', 360, 'maximum number of open connections')
    define_float('service', 0.022, 'median service time in seconds')
    define_float(
        'sigma', 0.3, 'log-normal spread of the service time, 0: fixed'
    )
    define_float('cold', 0, 'seconds of slower service after the start')
    define_float('drain', 2, 'seconds a leaving target accepts new work')
    define_integer('seed', 0, 'seed of service times and injected faults')


def _run_target(values: flags.FlagValues, _positional: list[str]) -> None:
    settings = TargetSettings(
        name=values.name,
        host=values.host,
        port=values.port,
        slots=values.slots,
        queue_limit=values.queue,
        max_connections=values.connections,
        service_seconds=values.service,
        service_time_sigma=values.sigma,
        cold_seconds=values.cold,
        drain_seconds=values.drain,
        seed=values.seed,
    )
    trio.run(serve_target, settings)


def _define_load(values: flags.FlagValues) -> None:
    define_string = functools.partial(flags.DEFINE_string, flag_values=values)
    define_string('scenario', None, 'scenario file (YAML)', required=True)
    define_string('history', '', 'file for the history of calls (JSON lines)')


def _run_load(values: flags.FlagValues, _positional: list[str]) -> None:
    scenario = load_scenario(values.scenario)
    if isinstance(scenario, Err):
        raise scenario.err_value
    records: list[CallRecord] = []
    trio.run(Caller(scenario.ok_value, records.append).run)
    encoder = msgspec.json.Encoder()
    if values.history:
        Path(values.history).write_bytes(encoder.encode_lines(records))
    groups = [*by_account_and_service(records), summarize(records)]
    sys.stdout.write(encoder.encode_lines(groups).decode())


def _define_publish(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        'platform',
        PLATFORM_ADDRESS,
        'address of the platform',
        flag_values=values,
    )


def _run_publish(values: flags.FlagValues, positional: list[str]) -> None:
    if len(positional) != 1:
        raise BenchError('expected one argument, the declaration file')
    trio.run(_publish, values.platform, read_declaration(positional[0]))


async def _publish(platform: str, cfg: Config) -> None:
    publisher = Publisher(platform)
    published_bytes = await publisher.publish(cfg)
    await publisher.publish_instance_list(dict.fromkeys(cfg.instances, LIVE))
    publisher.close()
    sys.stdout.write(
        f'published version={cfg.version} bytes={published_bytes}\n'
    )


def _define_demo(values: flags.FlagValues) -> None:
    define_string = functools.partial(flags.DEFINE_string, flag_values=values)
    define_float = functools.partial(flags.DEFINE_float, flag_values=values)
    define_string(
        'declaration', EXAMPLE_DECLARATION, 'declaration to launch (YAML)'
    )
    define_string('platform', PLATFORM_ADDRESS, 'address of the platform')
    define_string('out', 'out', 'folder for logs, histories and the time line')
    define_float('seconds', 6, 'length of each step')
    define_float('rate', 60, 'requests per second of all accounts together')
    define_integer = functools.partial(flags.DEFINE_integer, flag_values=values)
    define_integer('width', 4, 'maximum number of processes starting at once')
    define_integer(
        'port_offset',
        0,
        'added to every port, so that two demos can run at once',
    )


def _run_demo(values: flags.FlagValues, _positional: list[str]) -> None:
    settings = DemoSettings(
        declaration=values.declaration,
        fleet=FleetSettings(
            folder=Path(values.out),
            platform_address=shift_address(values.platform, values.port_offset),
            max_parallel_starts=values.width,
        ),
        port_offset=values.port_offset,
        step_seconds=values.seconds,
        rate=values.rate,
    )
    lines = trio.run(Demo(settings).run)
    sys.stdout.write(''.join(f'{line}\n' for line in lines))


def _define_latency(values: flags.FlagValues) -> None:
    define_string = functools.partial(flags.DEFINE_string, flag_values=values)
    define_float = functools.partial(flags.DEFINE_float, flag_values=values)
    define_string('out', 'out', 'folder for logs')
    define_float('seconds', 20, 'length of the measurement')
    define_float('rate', 108, 'requests per second sent to the entry daemon')
    flags.DEFINE_integer(
        'base_port', LATENCY_BASE_PORT, 'first port used', flag_values=values
    )


def _run_latency(values: flags.FlagValues, _positional: list[str]) -> None:
    platform = f'127.0.0.1:{values.base_port + PLATFORM_PORT_OFFSET}'
    settings = LatencySettings(
        fleet=FleetSettings(
            folder=Path(values.out),
            platform_address=platform,
            service_seconds=0,
            service_time_sigma=0,
        ),
        base_port=values.base_port,
        seconds=values.seconds,
        rate=values.rate,
    )
    report = trio.run(LatencyRun(settings).run)
    sys.stdout.write(f'{msgspec.json.encode(report).decode()}\n')


COMMANDS = (
    Command(
        'platform', 'run a stand-in platform', _define_platform, _run_platform
    ),
    Command('target', 'run a stand-in target', _define_target, _run_target),
    Command('publish', 'publish a declaration', _define_publish, _run_publish),
    Command(
        'demo',
        'launch a deployment on loopback and inject faults',
        _define_demo,
        _run_demo,
    ),
    Command('latency', 'measure added latency', _define_latency, _run_latency),
    Command('load', 'send the requests of a scenario', _define_load, _run_load),
)


def run() -> None:
    """Run the command that the arguments of the process name, then exit."""
    run_commands('clementinedeal-bench', COMMANDS)

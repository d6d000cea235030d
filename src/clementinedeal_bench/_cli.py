"""Command line of the bench."""

import functools
import sys
from pathlib import Path

import msgspec
import trio
from absl import flags
from result import Err

from clementinedeal_bench._caller import Caller
from clementinedeal_bench._flags import Command, run_commands
from clementinedeal_bench._history import CallRecord
from clementinedeal_bench._platform import PlatformSettings
from clementinedeal_bench._platform_server import serve_platform
from clementinedeal_bench._scenario import load_scenario
from clementinedeal_bench._summary import by_account_and_service, summarize
from clementinedeal_bench._target import TargetSettings, serve_target

PLATFORM_PORT = 20_900
TARGET_PORT = 20_990


def _define_platform(values: flags.FlagValues) -> None:
    integer = functools.partial(flags.DEFINE_integer, flag_values=values)
    flags.DEFINE_string(
        'host', '127.0.0.1', 'address to listen on', flag_values=values
    )
    integer('port', PLATFORM_PORT, 'port to listen on')
    flags.DEFINE_float(
        'lag', 0, 'delay of the instance list in seconds', flag_values=values
    )


def _run_platform(values: flags.FlagValues, _rest: list[str]) -> None:
    settings = PlatformSettings(lag=values.lag)
    trio.run(serve_platform, values.host, values.port, settings)


def _define_target(values: flags.FlagValues) -> None:
    string = functools.partial(flags.DEFINE_string, flag_values=values)
    integer = functools.partial(flags.DEFINE_integer, flag_values=values)
    decimal = functools.partial(flags.DEFINE_float, flag_values=values)
    string('name', 'target', 'name in answers and records')
    string('host', '127.0.0.1', 'address to listen on')
    integer('port', TARGET_PORT, 'port to listen on')
    integer('slots', 7, 'requests served at once')
    integer('queue', 7, 'requests that may wait for a slot')
    integer('connections', 360, 'connections accepted')
    decimal('service', 0.022, 'median service time in seconds')
    decimal('sigma', 0.3, 'log-normal spread of the service time, 0: fixed')
    decimal('cold', 0, 'seconds of slow service after the start')
    decimal('drain', 2, 'seconds of new work while leaving')
    integer('seed', 0, 'seed of service times and gray modes')


def _run_target(values: flags.FlagValues, _rest: list[str]) -> None:
    settings = TargetSettings(
        name=values.name,
        host=values.host,
        port=values.port,
        slots=values.slots,
        queue=values.queue,
        connections=values.connections,
        service=values.service,
        sigma=values.sigma,
        cold=values.cold,
        drain=values.drain,
        seed=values.seed,
    )
    trio.run(serve_target, settings)


def _define_load(values: flags.FlagValues) -> None:
    string = functools.partial(flags.DEFINE_string, flag_values=values)
    string('scenario', None, 'scenario file (YAML)', required=True)
    string('history', '', 'file for the history of calls (JSON lines)')


def _run_load(values: flags.FlagValues, _rest: list[str]) -> None:
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


COMMANDS = (
    Command('platform', 'stand-in platform', _define_platform, _run_platform),
    Command('target', 'stand-in target', _define_target, _run_target),
    Command('load', 'send a scenario of requests', _define_load, _run_load),
)


def run() -> None:
    """Run the command line of the process."""
    run_commands('clementinedeal-bench', COMMANDS)

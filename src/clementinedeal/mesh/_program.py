"""The main function of the daemon process."""

import functools
import logging
import sys

import trio
from result import Err

from clementinedeal.mesh._daemon import MeshDaemon
from clementinedeal.mesh._log_output import OutputQueue
from clementinedeal.platform import (
    PlatformDialect,
    PlatformStore,
    load_node,
    node_path,
)

_USAGE_EXIT = 2
_LOG_FORMAT = 'time=%(asctime)s level=%(levelname)s %(message)s'


def main() -> int:
    """Run the daemon until SIGTERM or SIGINT.

    :return: the exit status, 2 if the settings are not valid.
    """
    reload = functools.partial(load_node, node_path())
    loaded = reload()
    if isinstance(loaded, Err):
        sys.stderr.write(f'clementinedeal: {loaded.err_value}\n')
        sys.stderr.flush()
        return _USAGE_EXIT
    output = OutputQueue(sys.stdout.fileno())
    logging.basicConfig(
        handlers=[output],
        level=logging.INFO,
        format=_LOG_FORMAT,
    )
    daemon = MeshDaemon(
        loaded.ok_value,
        reload,
        PlatformStore,
        PlatformDialect(),
    )
    daemon.count_dropped_lines = lambda: output.dropped_lines
    trio.run(_run, daemon, output)
    output.flush_remaining()
    return 0


async def _run(daemon: MeshDaemon, output: OutputQueue) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(output.run)
        await daemon.run()
        nursery.cancel_scope.cancel()

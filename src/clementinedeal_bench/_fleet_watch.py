"""Waits until daemons report a change, and counts executions of targets."""

import time
from collections.abc import Sequence

import trio

from clementinedeal import Instance, Target
from clementinedeal_bench._status_reader import (
    gather,
    read_executions,
    read_status,
)

VERSION_TIMEOUT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.1
IN_USE = 'in-use'


async def await_version(instances: Sequence[Instance], version: int) -> int:
    """Wait until all daemons use a configuration version or a newer one.

    Returns the number of daemons that use it, after
    ``VERSION_TIMEOUT_SECONDS`` at the latest.

    :param instances: the daemons to ask.
    :param version: the version to wait for.
    """
    deadline = time.monotonic() + VERSION_TIMEOUT_SECONDS
    daemons_at_version = 0
    while daemons_at_version < len(instances) and time.monotonic() < deadline:
        await trio.sleep(POLL_INTERVAL_SECONDS)
        statuses = await gather(read_status, instances)
        daemons_at_version = sum(
            status is not None and status.config_version >= version
            for status in statuses
        )
    return daemons_at_version


async def await_not_in_use(owner: Instance, target: Target) -> None:
    """Wait without a limit until a target's owner reports it as not in use.

    :param owner: the daemon beside the target, which reports its state.
    :param target: the target.
    """
    state = IN_USE
    while state == IN_USE:
        await trio.sleep(POLL_INTERVAL_SECONDS)
        status = await read_status(owner)
        state = status.states().get(target.name, IN_USE) if status else IN_USE


async def count_executions(targets: Sequence[Target]) -> dict[str, int]:
    """Return the number of executions that each target began, by name.

    :param targets: the targets to ask.
    """
    counts = dict.fromkeys((target.name for target in targets), 0)
    for executions in await gather(read_executions, targets):
        for execution in executions or ():
            counts[execution.target] += 1
    return counts

"""Waits until daemons report a change."""

import time
from collections.abc import Sequence

import trio

from clementinedeal import Instance, Target
from clementinedeal_bench._observer import (
    gather,
    read_executions,
    read_status,
)

SETTLE_SECONDS = 10.0
POLL_SECONDS = 0.1
IN_USE = 'in-use'


async def await_version(instances: Sequence[Instance], version: int) -> int:
    """Wait until a version is in force; return at how many daemons it is.

    :param instances: the daemons to ask.
    :param version: the version, or a higher one.
    """
    deadline = time.monotonic() + SETTLE_SECONDS
    reached = 0
    while reached < len(instances) and time.monotonic() < deadline:
        await trio.sleep(POLL_SECONDS)
        told = await gather(read_status, instances)
        reached = sum(
            each is not None and each.config_version >= version for each in told
        )
    return reached


async def await_not_in_use(owner: Instance, target: Target) -> None:
    """Wait until a target's owner no longer reports it in use.

    :param owner: the daemon beside the target.
    :param target: the target.
    """
    state = IN_USE
    while state == IN_USE:
        await trio.sleep(POLL_SECONDS)
        told = await read_status(owner)
        state = told.states().get(target.name, IN_USE) if told else IN_USE


async def count_executions(targets: Sequence[Target]) -> dict[str, int]:
    """Return how many executions each target began, by target name.

    :param targets: the targets to ask.
    """
    counts = dict.fromkeys((target.name for target in targets), 0)
    for found in await gather(read_executions, targets):
        for run in found or ():
            counts[run.target] += 1
    return counts

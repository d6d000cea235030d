"""Restarts a daemon's background tasks when they fail."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

from clementinedeal._events import log

# A task that fails again at once must not keep the event loop busy.
RESTART_DELAY_SECONDS = 0.5

BackgroundTask: TypeAlias = Callable[[], Awaitable[None]]


async def keep_running(task: BackgroundTask) -> None:
    """Run a task until it returns; a task that raises is started again.

    An unexpected exception in one task must not end the process and the
    requests that it serves.

    :param task: runs until it is done or cancelled.
    """
    while True:
        try:
            await task()
        except Exception:
            log.exception('event=part-failed')
            await trio.sleep(RESTART_DELAY_SECONDS)
        else:
            return

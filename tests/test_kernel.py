"""Registration, start and stop of a daemon's parts."""

import pytest
import trio

from clementinedeal._kernel import Kernel, KernelError
from clementinedeal._timers import VirtualClock


class Part:
    """A part of a daemon that logs its start and stop."""

    def __init__(self, name: str, log: list[str]) -> None:
        self.name = name
        self.log = log

    async def start(self, nursery: trio.Nursery) -> None:
        self.log.append(f'+{self.name}')

    async def stop(self) -> None:
        self.log.append(f'-{self.name}')


async def test_parts_start_in_order_and_stop_in_reverse(
    nursery: trio.Nursery,
) -> None:
    log: list[str] = []
    kernel = Kernel()
    kernel.register('a', Part('a', log))
    kernel.register('b', Part('b', log))
    await kernel.start(nursery)
    await kernel.stop()
    assert log == ['+a', '+b', '-b', '-a']


def test_a_name_is_registered_once_and_found_by_type() -> None:
    kernel = Kernel()
    clock = kernel.register('clock', VirtualClock())
    assert kernel.find('clock', VirtualClock) is clock
    with pytest.raises(KernelError):
        kernel.register('clock', VirtualClock())
    with pytest.raises(KernelError):
        kernel.find('clock', Kernel)
    with pytest.raises(KernelError):
        kernel.find('absent', Kernel)

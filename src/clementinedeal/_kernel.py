"""Micro-kernel: services register, find each other by name, start in order."""

from typing import Protocol, TypeVar, runtime_checkable

import trio

from clementinedeal._errors import ClementinedealError

ServiceT = TypeVar('ServiceT')


@runtime_checkable
class Startable(Protocol):
    """A part that runs tasks or listens."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin work; parts registered earlier have started.

        :param nursery: runs the part's tasks.
        """
        ...


@runtime_checkable
class Stoppable(Protocol):
    """A part that has something to finish."""

    async def stop(self) -> None:
        """Finish work; parts registered later have stopped."""
        ...


class KernelError(ClementinedealError):
    """A service is missing or registered twice."""


class Kernel:
    """Registry of the parts of one daemon."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._parts: dict[str, object] = {}

    def register(self, name: str, part: ServiceT) -> ServiceT:
        """Add a part and return it.

        :param name: unique name by which others find it.
        :param part: any object; ``start`` and ``stop`` are called if it has
            them.
        :raises KernelError: the name is taken.
        """
        if name in self._parts:
            raise KernelError(f'service {name} is registered twice')
        self._parts[name] = part
        return part

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return a part by name.

        :param name: the name it was registered under.
        :param kind: expected class, checked.
        :raises KernelError: no such part, or one of another class.
        """
        part = self._parts.get(name)
        if not isinstance(part, kind):
            raise KernelError(f'no service {name} of type {kind.__name__}')
        return part

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the parts in registration order.

        :param nursery: runs their tasks.
        """
        for part in tuple(self._parts.values()):
            if isinstance(part, Startable):
                await part.start(nursery)

    async def stop(self) -> None:
        """Stop the parts, last one first."""
        for part in reversed(tuple(self._parts.values())):
            if isinstance(part, Stoppable):
                await part.stop()

"""Registry of a daemon's parts, which starts and stops them in order."""

from typing import Protocol, TypeVar, runtime_checkable

import trio

from clementinedeal._errors import ClementinedealError

ServiceT = TypeVar('ServiceT')


@runtime_checkable
class Startable(Protocol):
    """A part that runs tasks or listens on a socket."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin work; parts that were registered earlier have started.

        :param nursery: runs the part's tasks.
        """
        ...


@runtime_checkable
class Stoppable(Protocol):
    """A part that has work to finish or resources to release."""

    async def stop(self) -> None:
        """Finish work; parts that were registered later have stopped."""
        ...


class KernelError(ClementinedealError):
    """A part or handler is missing, or registered twice."""


class Kernel:
    """Registry of the parts of one daemon.

    Parts find each other by name and class. They are started in the order in
    which they were registered and stopped in reverse.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self._parts: dict[str, object] = {}

    def register(self, name: str, part: ServiceT) -> ServiceT:
        """Add a part and return it.

        :param name: unique name by which other parts find it.
        :param part: any object; ``start`` and ``stop`` are called if it has
            them.
        :raises KernelError: the name is taken.
        """
        if name in self._parts:
            raise KernelError(f'part {name!r} is already registered')
        self._parts[name] = part
        return part

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return a part by name.

        :param name: the name under which it was registered.
        :param kind: the class that it must have.
        :raises KernelError: no such part, or one of another class.
        """
        part = self._parts.get(name)
        if not isinstance(part, kind):
            raise KernelError(f'no part {name!r} of class {kind.__name__}')
        return part

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the parts in registration order.

        :param nursery: runs their tasks.
        """
        for part in tuple(self._parts.values()):
            if isinstance(part, Startable):
                await part.start(nursery)

    async def stop(self) -> None:
        """Stop the parts in reverse order of registration."""
        for part in reversed(tuple(self._parts.values())):
            if isinstance(part, Stoppable):
                await part.stop()

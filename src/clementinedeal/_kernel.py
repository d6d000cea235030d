"""Micro-kernel: services register, find each other by name, start in order."""

from collections.abc import Iterator
from typing import Protocol, TypeVar, cast

from clementinedeal._errors import ClementinedealError

ServiceT = TypeVar('ServiceT')


class KernelService(Protocol):
    """A part of the daemon with a life cycle."""

    async def start(self) -> None:
        """Begin work; services registered earlier have started."""
        ...

    async def stop(self) -> None:
        """Finish work; services registered later have stopped."""
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
        :param part: any object; those with a life cycle are started.
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

    async def start(self) -> None:
        """Start all parts that have a life cycle, in registration order."""
        for part in self._living():
            await part.start()

    async def stop(self) -> None:
        """Stop all parts that have a life cycle, last one first."""
        for part in reversed(tuple(self._living())):
            await part.stop()

    def _living(self) -> Iterator[KernelService]:
        for part in self._parts.values():
            if hasattr(part, 'start') and hasattr(part, 'stop'):
                yield cast(KernelService, part)

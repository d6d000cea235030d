"""Routing of typed actions and messages to the parts that perform them."""

from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

import trio

from clementinedeal._kernel import KernelError

FoundT = TypeVar('FoundT')


class Dispatcher:
    """Calls the handler registered for the class of each action."""

    def __init__(self) -> None:
        """Create a dispatcher without handlers."""
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}

    def register(
        self,
        kind: type[Any],
        handler: Callable[[Any], None],
    ) -> None:
        """Set the handler of one class.

        :param kind: class of action or message.
        :param handler: is called with each instance.
        :raises KernelError: the class has a handler.
        """
        if kind in self._handlers:
            raise KernelError(f'{kind.__name__} has two handlers')
        self._handlers[kind] = handler

    def perform(self, actions: Iterable[Any]) -> None:
        """Hand each action to its handler.

        :param actions: in the order in which they are to be performed.
        :raises KernelError: a class has no handler.
        """
        for action in actions:
            handler = self._handlers.get(type(action))
            if handler is None:
                raise KernelError(f'no handler for {type(action).__name__}')
            handler(action)


class Waiters(Generic[FoundT]):
    """Tasks that wait for something by id."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._events: dict[str, trio.Event] = {}
        self._found: dict[str, FoundT] = {}

    def expect(self, key: str) -> None:
        """Announce a wait, before what resolves it is set in motion.

        :param key: unique id.
        """
        self._events[key] = trio.Event()

    def resolve(self, key: str, found: FoundT) -> None:
        """Wake the task; the first call counts, unknown ids are ignored.

        :param key: the id.
        :param found: what the task gets.
        """
        event = self._events.get(key)
        if event is not None and key not in self._found:
            self._found[key] = found
            event.set()

    async def wait(self, key: str) -> FoundT:
        """Wait until resolved; the id is forgotten afterwards.

        :param key: an expected id.
        """
        try:
            await self._events[key].wait()
            return self._found[key]
        finally:
            self.forget(key)

    def forget(self, key: str) -> None:
        """Drop an id without waiting."""
        self._events.pop(key, None)
        self._found.pop(key, None)

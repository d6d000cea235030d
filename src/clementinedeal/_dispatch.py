"""Dispatch of typed actions to their handlers, and waits for results by id."""

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
        :param handler: is called with each object of the class.
        :raises KernelError: the class already has a handler.
        """
        if kind in self._handlers:
            raise KernelError(f'{kind.__name__} already has a handler')
        self._handlers[kind] = handler

    def perform(self, actions: Iterable[Any]) -> None:
        """Call the handler of each action.

        :param actions: in the order in which they are to be performed.
        :raises KernelError: an action's class has no handler.
        """
        for action in actions:
            handler = self._handlers.get(type(action))
            if handler is None:
                raise KernelError(f'{type(action).__name__} has no handler')
            handler(action)


class Waiters(Generic[FoundT]):
    """Lets tasks wait for results that other tasks provide under an id."""

    def __init__(self) -> None:
        """Start without waits."""
        self._events: dict[str, trio.Event] = {}
        self._results: dict[str, FoundT] = {}

    def expect(self, key: str) -> None:
        """Announce a wait; to be called before its result can arrive.

        :param key: unique id of the wait.
        """
        self._events[key] = trio.Event()

    def resolve(self, key: str, result: FoundT) -> None:
        """Provide a result and wake the task that waits for it.

        Later results for the same id, and unknown ids, are ignored.

        :param key: id of the wait.
        :param result: the result.
        """
        event = self._events.get(key)
        if event is not None and key not in self._results:
            self._results[key] = result
            event.set()

    async def wait(self, key: str) -> FoundT:
        """Wait for the result and return it; the id is then forgotten.

        :param key: an id announced by ``expect``.
        """
        try:
            await self._events[key].wait()
            return self._results[key]
        finally:
            self.forget(key)

    def forget(self, key: str) -> None:
        """Forget an id without waiting.

        :param key: the id; ignored if unknown.
        """
        self._events.pop(key, None)
        self._results.pop(key, None)

"""Calls the managers of a daemon at messages, ticks and other events."""

from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

from clementinedeal._dispatch import Dispatcher
from clementinedeal._model import Config
from clementinedeal._timers import Timers

Actions: TypeAlias = Iterable[Any] | None
MessageHandler: TypeAlias = Callable[[str, Any, float], Actions]
TickHandler: TypeAlias = Callable[[float], Actions]
ConfigHandler: TypeAlias = Callable[[Config, float], Actions]
PauseHandler: TypeAlias = Callable[[float, float], Actions]
FreshHandler: TypeAlias = Callable[[bool, float], Actions]


class Hub:
    """Calls the handlers of each event and performs the actions they return.

    Handlers are appended to the public lists. They are called in the order in
    which they were added, with the monotonic time in seconds as their last
    argument.
    """

    def __init__(self, timers: Timers, dispatcher: Dispatcher) -> None:
        """Create a hub without handlers.

        :param timers: provides the time and calls periodic handlers.
        :param dispatcher: performs actions.
        """
        self.on_message: list[MessageHandler] = []
        self.on_config: list[ConfigHandler] = []
        self.on_pause: list[PauseHandler] = []
        self.on_fresh: list[FreshHandler] = []
        self.on_stop: list[TickHandler] = []
        self._timers = timers
        self._clock = timers.clock
        self._dispatcher = dispatcher

    def receive(self, sender: str, body: Any) -> None:
        """Pass a control message to the message handlers.

        :param sender: the instance that sent it.
        :param body: the message.
        """
        now = self._clock.now()
        for handler in self.on_message:
            self.perform(handler(sender, body, now))

    def every(self, seconds: float, handler: TickHandler) -> None:
        """Call a handler periodically.

        :param seconds: the period.
        :param handler: receives the time, returns actions or None.
        """
        self._timers.every(seconds, lambda now: self.perform(handler(now)))

    def apply_config(self, cfg: Config) -> None:
        """Report a new configuration in force.

        :param cfg: the configuration.
        """
        now = self._clock.now()
        for handler in tuple(self.on_config):
            self.perform(handler(cfg, now))

    def report_pause(self, gap: float) -> None:
        """Report that the process was paused.

        :param gap: length of the pause in seconds.
        """
        now = self._clock.now()
        for handler in self.on_pause:
            self.perform(handler(gap, now))

    def report_freshness(self, is_fresh: bool) -> None:
        """Report whether the configuration is known to be recent.

        :param is_fresh: true while it is.
        """
        now = self._clock.now()
        for handler in self.on_fresh:
            self.perform(handler(is_fresh, now))

    def report_stop(self) -> None:
        """Report that the daemon begins a planned stop."""
        now = self._clock.now()
        for handler in self.on_stop:
            self.perform(handler(now))

    def perform(self, actions: Actions) -> None:
        """Perform actions.

        :param actions: what a handler returned, may be None.
        """
        if actions:
            self._dispatcher.perform(actions)

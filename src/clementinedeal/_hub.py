"""Drives the decision parts of a daemon: messages, time, configuration."""

from collections.abc import Iterable
from typing import Any, Protocol

from clementinedeal._dispatch import Dispatcher
from clementinedeal._model import Config
from clementinedeal._timers import Timers


class Office(Protocol):
    """A decision part; each method returns the actions to perform."""

    def on_message(self, sender: str, body: Any, now: float) -> Iterable[Any]:
        """Take in a message of another instance; foreign kinds are ignored."""
        ...

    def on_tick(self, now: float) -> Iterable[Any]:
        """Let time pass."""
        ...

    def on_config(self, cfg: Config, now: float) -> Iterable[Any]:
        """Take a configuration into force."""
        ...

    def on_pause(self, gap: float, now: float) -> Iterable[Any]:
        """React to a gap in the process's time, in seconds."""
        ...

    def set_fresh(self, fresh: bool, now: float) -> Iterable[Any] | None:
        """Learn whether the configuration is known to be recent."""
        ...

    def stop(self, now: float) -> Iterable[Any]:
        """Hand over before a planned stop."""
        ...


class Hub:
    """Passes what happens to every office and performs what they return."""

    def __init__(self, timers: Timers, dispatcher: Dispatcher) -> None:
        """Create a hub without offices.

        :param timers: gives the time.
        :param dispatcher: performs actions.
        """
        self._clock = timers.clock
        self._dispatcher = dispatcher
        self._offices: list[Office] = []

    def add(self, office: Office) -> None:
        """Add an office; it hears of everything from now on."""
        self._offices.append(office)

    def receive(self, sender: str, body: Any) -> None:
        """Pass on a message.

        :param sender: the instance it came from.
        :param body: the message.
        """
        now = self._clock.now()
        for office in self._offices:
            self._perform(office.on_message(sender, body, now))

    def tick(self, now: float) -> None:
        """Let time pass.

        :param now: monotonic time in seconds.
        """
        for office in self._offices:
            self._perform(office.on_tick(now))

    def take_config(self, cfg: Config) -> None:
        """Bring a configuration into force.

        :param cfg: the configuration.
        """
        now = self._clock.now()
        for office in self._offices:
            self._perform(office.on_config(cfg, now))

    def pause(self, gap: float) -> None:
        """Tell of a pause.

        :param gap: its length in seconds.
        """
        now = self._clock.now()
        for office in self._offices:
            self._perform(office.on_pause(gap, now))

    def set_fresh(self, fresh: bool) -> None:
        """Tell whether the configuration is known to be recent."""
        now = self._clock.now()
        for office in self._offices:
            self._perform(office.set_fresh(fresh, now))

    def stop(self) -> None:
        """Tell of the planned stop."""
        now = self._clock.now()
        for office in self._offices:
            self._perform(office.stop(now))

    def _perform(self, actions: Iterable[Any] | None) -> None:
        if actions:
            self._dispatcher.perform(actions)

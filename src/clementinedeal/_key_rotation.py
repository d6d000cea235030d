"""Replaces the fleet keys while the daemon runs."""

import signal
from collections.abc import Callable

import trio
from result import Err, Result

from clementinedeal._envelope import Keyring
from clementinedeal._errors import SettingsError
from clementinedeal._events import EventLog
from clementinedeal._settings import DaemonSettings

Reload = Callable[[], Result[DaemonSettings, SettingsError]]


class KeyRotation:
    """Reads the settings file again at each SIGHUP; uses only its keys."""

    def __init__(
        self,
        keyring: Keyring,
        reload: Reload,
        events: EventLog,
    ) -> None:
        """Create the rotation; ``start`` makes it handle signals.

        :param keyring: the keyring whose keys are replaced.
        :param reload: reads and validates the settings file.
        :param events: logs replaced and rejected keys.
        """
        self._keyring = keyring
        self._reload = reload
        self._events = events

    async def start(self, nursery: trio.Nursery) -> None:
        """Handle signals from now on.

        :param nursery: runs the task.
        """
        nursery.start_soon(self._run)

    async def _run(self) -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                await anext(signals)
                self.rotate()

    def rotate(self) -> None:
        """Read the settings once; keep the old keys if they are invalid."""
        settings = self._reload()
        if isinstance(settings, Err):
            self._events.emit('keys-rejected', reason=settings.err_value)
            return
        keys = {key.name: key.secret for key in settings.ok_value.fleet_keys}
        self._keyring.replace(keys)
        self._events.emit('keys-replaced', keys=','.join(keys))

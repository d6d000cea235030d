"""Takes new fleet keys from the settings file while the daemon runs."""

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
    """Reads the settings again at each SIGHUP; only the keys are used."""

    def __init__(
        self,
        keyring: Keyring,
        reload: Reload,
        events: EventLog,
    ) -> None:
        """Create without a task.

        :param keyring: gets the new keys.
        :param reload: reads and checks the settings file.
        :param events: hears of new and of rejected keys.
        """
        self._keyring = keyring
        self._reload = reload
        self._events = events

    async def start(self, nursery: trio.Nursery) -> None:
        """Follow signals from now on.

        :param nursery: runs the loop.
        """
        nursery.start_soon(self._run)

    async def _run(self) -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                await anext(signals)
                self.rotate()

    def rotate(self) -> None:
        """Read the settings once; the old keys stay if they are rejected."""
        settings = self._reload()
        if isinstance(settings, Err):
            self._events.emit('keys-rejected', reason=settings.err_value)
            return
        keys = {key.name: key.secret for key in settings.ok_value.fleet_keys}
        self._keyring.replace(keys)
        self._events.emit('keys-replaced', keys=','.join(keys))

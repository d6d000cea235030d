"""Child processes of the launcher, each ended by its own id."""

import signal
import subprocess
from pathlib import Path

import trio

from clementinedeal_bench._errors import BenchError

STOP_TIMEOUT_SECONDS = 10.0
LOG_TAIL_CHARS = 400


class Processes:
    """Starts named processes with a log file each, and ends just those."""

    def __init__(self, folder: Path) -> None:
        """Create an empty set.

        :param folder: existing folder for the log files; old ones are removed.
        """
        self._folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        for old in folder.glob('*.log'):
            old.unlink()

    def start(self, name: str, args: list[str]) -> int:
        """Start a process and return its id.

        :param name: its name here; also names its log file.
        :param args: the command line.
        """
        with self._log_path(name).open('ab') as log:
            process = subprocess.Popen(
                args,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._running[name] = process
        return process.pid

    def pid(self, name: str) -> int:
        """Return the id of a process.

        :param name: its name here.
        """
        return self._running[name].pid

    def check_running(self, name: str) -> None:
        """Raise unless a process runs.

        :param name: its name here.
        :raises BenchError: it has ended; gives the end of its log.
        """
        code = self._running[name].poll()
        if code is not None:
            tail = self._log_path(name).read_text(errors='replace')[
                -LOG_TAIL_CHARS:
            ]
            raise BenchError(f'{name} ended with {code}: {tail.strip()}')

    def kill(self, name: str) -> None:
        """End a process at once, as by kill -9.

        :param name: its name here.
        """
        process = self._running.pop(name)
        process.kill()
        process.wait()

    async def stop(self, name: str) -> bool:
        """Ask a process to stop; True when it ended with status 0 in time.

        :param name: its name here.
        """
        process = self._running.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            code = await trio.to_thread.run_sync(
                process.wait, STOP_TIMEOUT_SECONDS
            )
        except subprocess.TimeoutExpired:
            process.kill()
            code = process.wait()
        return code == 0

    def kill_all(self) -> None:
        """End every process that still runs."""
        for name in tuple(self._running):
            self.kill(name)

    def _log_path(self, name: str) -> Path:
        return self._folder / f'{name}.log'

"""Child processes of the fleet launcher."""

import signal
import subprocess
from pathlib import Path

import trio

from clementinedeal_bench._errors import BenchError

STOP_TIMEOUT_SECONDS = 10.0
LOG_TAIL_CHARS = 400


class Processes:
    """Starts named processes with a log file each, and ends them.

    It signals only processes that it has started, each by its id.
    """

    def __init__(self, folder: Path) -> None:
        """Create an empty set of processes.

        :param folder: existing folder for log files; old ones are removed.
        """
        self._folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        for old in folder.glob('*.log'):
            old.unlink()

    def start(self, name: str, args: list[str]) -> int:
        """Start a process and return its id.

        :param name: name of the process and of its log file.
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

        :param name: name of the process.
        """
        return self._running[name].pid

    def check_running(self, name: str) -> None:
        """Raise if a process has ended.

        :param name: name of the process.
        :raises BenchError: it has ended; the message quotes the end of its log.
        """
        code = self._running[name].poll()
        if code is not None:
            tail = self._log_path(name).read_text(errors='replace')[
                -LOG_TAIL_CHARS:
            ]
            raise BenchError(
                f'{name}: process ended with status {code}: {tail.strip()}'
            )

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL.

        :param name: name of the process.
        """
        process = self._running.pop(name)
        process.kill()
        process.wait()

    async def stop(self, name: str) -> bool:
        """Stop a process with SIGTERM; return True if it exited with 0 in time.

        A process that has not ended after ``STOP_TIMEOUT_SECONDS`` is killed.

        :param name: name of the process.
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
        """Kill every process that still runs."""
        for name in tuple(self._running):
            self.kill(name)

    def _log_path(self, name: str) -> Path:
        return self._folder / f'{name}.log'

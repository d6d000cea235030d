"""The start of the daemon process, before it handles signals."""

import os
import signal
import subprocess
import sys


def test_reload_signal_during_the_start_does_not_end_the_process(tmp_path):
    settings = tmp_path / 'node.toml'
    os.mkfifo(settings)
    with subprocess.Popen(
        [sys.executable, '-m', 'clementinedeal.mesh'],
        env={**os.environ, 'CLEMENTINEDEAL_NODE_FILE': str(settings)},
        stderr=subprocess.PIPE,
    ) as process:
        # blocks until the program opens its settings file
        with settings.open('w') as pipe:
            process.send_signal(signal.SIGHUP)
            pipe.write('node = 1')
        _, error_output = process.communicate(timeout=10)
    assert process.returncode == 2
    assert b'node.toml' in error_output

"""Runs the daemon on the users' platform: ``python3 -m clementinedeal.mesh``.

The platform names the settings file in the environment.
"""

import importlib
import signal
import sys

if __name__ == '__main__':
    # Imports take a while. A reload signal in that time would end the process.
    # It can be ignored: the settings are read after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    program = importlib.import_module('clementinedeal.mesh._program')
    sys.exit(program.main())

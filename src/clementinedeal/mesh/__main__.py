"""Runs the daemon on the users' platform: ``python3 -m clementinedeal.mesh``.

The platform names the settings file in the environment.
"""

import importlib
import os
import signal

if __name__ == '__main__':
    # Imports take a while. A reload signal in that time would end the process.
    # It can be ignored: the settings are read after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    program = importlib.import_module('clementinedeal.mesh._program')
    # The interpreter's own end frees memory for as long as it takes, and on a
    # busy machine the platform kills the process meanwhile. All is flushed.
    os._exit(program.main())

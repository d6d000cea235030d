"""Runs the command line as ``python -m clementinedeal``."""

from clementinedeal._cli import run

if __name__ == '__main__':
    run()

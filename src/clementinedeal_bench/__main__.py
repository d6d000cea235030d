"""Runs the command line as ``python -m clementinedeal_bench``."""

from clementinedeal_bench._cli import run

run()

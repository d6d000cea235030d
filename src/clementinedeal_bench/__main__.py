"""Entry point of ``python -m clementinedeal_bench``."""

from clementinedeal_bench._cli import run

run()

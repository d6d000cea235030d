"""Lets the package run as a command."""

from clementinedeal._cli import run

if __name__ == '__main__':
    run()

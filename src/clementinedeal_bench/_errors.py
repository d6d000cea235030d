"""Exceptions of the bench and its stand-ins."""

from clementinedeal import ClementinedealError


class BenchError(ClementinedealError):
    """A bench tool cannot continue.

    The message is one line, which the command line prints.
    """

"""Exceptions of the bench and its stand-ins."""

from clementinedeal import ClementinedealError


class BenchError(ClementinedealError):
    """A tool of the bench can not go on; the message is one clear line."""

"""The rank that the sender gives an attempt."""

from types import SimpleNamespace

import pytest

from clementinedeal.mesh._sender import KEYLESS_PRIORITY, Sender

ROUTE = SimpleNamespace(priority=2)


def rank_of(account, running):
    """Return the rank of an attempt.

    :param account: of the caller; None for a call that a target makes.
    :param running: the most urgent rank among the owner's running attempts.
    """
    parts = SimpleNamespace(owner=SimpleNamespace(most_urgent_rank=running))
    admitted = SimpleNamespace(account=account, route=ROUTE)
    return Sender(parts)._rank(admitted)


@pytest.mark.parametrize('running', [None, (0, 0)])
def test_account_priority_precedes_route_priority(running):
    account = SimpleNamespace(priority=1)
    assert rank_of(account, running) == (1, 2)


def test_call_takes_the_rank_of_the_request_that_makes_it():
    assert rank_of(None, (3, 1)) == (3, 1)
    assert rank_of(None, None) == (KEYLESS_PRIORITY, 2)

"""The rank that the sender gives an attempt."""

from types import SimpleNamespace

import pytest

from clementinedeal._timers import VirtualClock
from clementinedeal.mesh._call_ranks import KEYLESS_PRIORITY, CallRanks
from clementinedeal.mesh._sender import Sender

URGENT, PATIENT = (0, 1), (3, 3)


def rank_of(account, deadline, running=()):
    """Return the rank of an attempt.

    :param account: of the caller; None for a call that a target makes.
    :param deadline: of the request.
    :param running: ranks and deadlines of what the own target runs.
    """
    call_ranks = CallRanks()
    for rank, ends_at in running:
        call_ranks.add(rank, ends_at)
    parts = SimpleNamespace(
        owner=SimpleNamespace(call_ranks=call_ranks), clock=VirtualClock()
    )
    admitted = SimpleNamespace(
        account=account, route=SimpleNamespace(priority=2), deadline=deadline
    )
    return Sender(parts)._rank(admitted)


def test_account_priority_precedes_route_priority():
    account = SimpleNamespace(priority=1)
    assert rank_of(account, 5, [(URGENT, 5)]) == (1, 2)


@pytest.mark.parametrize('delay', [-0.001, 0, 0.02])
@pytest.mark.parametrize(('rank', 'ends_at'), [(URGENT, 5), (PATIENT, 8)])
def test_a_call_takes_the_rank_of_the_request_that_makes_it(
    rank, ends_at, delay
):
    running = [(URGENT, 5), (PATIENT, 8), ((1, 1), 5.1)]
    assert rank_of(None, ends_at + delay, running) == rank


@pytest.mark.parametrize(
    ('others', 'expected'),
    [
        ([], URGENT),
        ([(PATIENT, 3)], URGENT),
        ([(PATIENT, 8)], URGENT),
        ([(PATIENT, 8), (PATIENT, 9)], (3, 2)),
    ],
)
def test_a_call_with_a_shorter_limit_ranks_as_most_that_may_have_made_it(
    others, expected
):
    assert rank_of(None, 4, [(URGENT, 5), *others]) == expected


def test_a_request_that_none_can_have_made_ranks_by_its_route():
    assert rank_of(None, 9, [(PATIENT, 5)]) == (KEYLESS_PRIORITY, 2)
    assert rank_of(None, 9) == (KEYLESS_PRIORITY, 2)

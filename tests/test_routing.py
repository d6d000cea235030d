"""The order in which an entry tries the targets of a service."""

import dataclasses
import random
from collections import Counter

import pytest

from clementinedeal._model import Instance
from clementinedeal._routing import Availability, Router, TargetView
from test_permits import make_config

TARGET_COUNT = 9
NAMES = [f't{number}' for number in range(TARGET_COUNT)]


def instance(number: int) -> Instance:
    return Instance(
        name=f'i{number}',
        zone=f'z{number % 3}',
        region='r',
        caller='',
        peer='',
        control='',
        operator='',
    )


CFG = dataclasses.replace(
    make_config(1, 6, frozenset(range(TARGET_COUNT))),
    instances={
        f'i{number}': instance(number) for number in range(TARGET_COUNT)
    },
)


@pytest.fixture
def router() -> Router:
    router = Router('i0', 'z0', CFG, random.Random(1))
    for name in NAMES:
        observe(router, name, Availability.IN_USE)
    return router


def observe(
    router: Router,
    name: str,
    availability: Availability,
    load: float = 0.3,
    at: float = 10.0,
) -> None:
    router.on_view(name, TargetView(availability, load, at))


def count_first(
    router: Router, *holders: str, at: float = 10.0
) -> Counter[str]:
    lists = [router.rank_targets('s', holders, True, at) for _ in range(3000)]
    return Counter(names[0] for names in lists)


def test_least_loaded_holder_goes_first_unless_it_is_full(
    router: Router,
) -> None:
    observe(router, 't4', Availability.IN_USE, 0.1)
    assert router.rank_targets('s', ('i5', 'i4'), False, 10.0)[:2] == [
        't4',
        't5',
    ]
    observe(router, 't4', Availability.IN_USE, 1.0)
    assert router.rank_targets('s', ('i5', 'i4'), False, 10.0)[0] == 't5'


def test_own_zone_goes_before_others_and_load_is_spread(
    router: Router,
) -> None:
    order = router.rank_targets('s', (), False, 10.0)
    assert {int(name[1:]) % 3 for name in order[:3]} == {0}
    assert len(set(order)) == len(order)
    counts = count_first(router)
    assert set(counts) == {'t0', 't3', 't6'}
    observe(router, 't3', Availability.IN_USE, 0.9)
    assert count_first(router)['t3'] < counts['t3'] / 2


@pytest.mark.parametrize(
    'bad',
    [Availability.EJECTED, Availability.LEAVING, Availability.LOST],
)
def test_a_target_out_of_use_is_not_ranked(
    router: Router,
    bad: Availability,
) -> None:
    observe(router, 't0', bad)
    for _ in range(200):
        assert 't0' not in router.rank_targets('s', ('i0',), True, 10.0)


def test_targets_out_of_use_are_ranked_when_there_is_no_other(
    router: Router,
) -> None:
    for name in NAMES:
        observe(router, name, Availability.LOST)
    observe(router, 't7', Availability.LEAVING)
    observe(router, 't2', Availability.EJECTED)
    assert router.rank_targets('s', (), False, 10.0)[:2] == ['t2', 't7']


def test_an_ejection_that_is_not_renewed_expires(router: Router) -> None:
    observe(router, 't0', Availability.EJECTED)
    assert 't0' not in count_first(router, at=12.0)
    assert 't0' in count_first(router, at=17.0)


def test_a_small_fraction_of_idempotent_requests_is_a_trial(
    router: Router,
) -> None:
    observe(router, 't8', Availability.TRIAL)
    trial_fraction = count_first(router)['t8'] / 3000
    assert 0 < trial_fraction < 1 / TARGET_COUNT
    for _ in range(500):
        assert 't8' not in router.rank_targets('s', (), False, 10.0)


def test_a_path_fault_ranks_an_owner_last_but_keeps_it(router: Router) -> None:
    router.paths.on_connect_failure('i0', 10.0)
    assert 't0' not in count_first(router, 'i0')
    for name in NAMES[1:]:
        observe(router, name, Availability.LOST)
    assert router.rank_targets('s', (), False, 10.0) == ['t0']
    assert router.rank_targets('s', ('i0',), False, 14.0)[0] == 't0'


def test_a_slow_path_counts_as_load(router: Router) -> None:
    for _ in range(20):
        router.paths.on_answer('i3', 0.2)
    counts = count_first(router)
    assert counts['t3'] < counts['t6'] / 2


def test_an_unknown_service_has_no_targets(router: Router) -> None:
    assert router.rank_targets('x', (), False, 10.0) == []

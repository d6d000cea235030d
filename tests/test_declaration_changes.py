"""What differs between two declarations, encoded and applied."""

import zlib
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.store_standin import configuration

from clementinedeal.mesh._declaration_changes import (
    MAX_DECODED_BYTES,
    NO_FINGERPRINT,
    ChangeError,
    apply_change,
    compute_fingerprint,
    decode_change,
    encode_change,
)
from clementinedeal.mesh._types import (
    ClientAccount,
    Declaration,
    RequestLimits,
    RouteRule,
    ServiceRule,
    WeightedService,
)
from clementinedeal.platform._declaration import decode_declaration

NAMES = st.sampled_from(['', 'a', 'b', 'c', 'd'])
SECONDS = st.sampled_from([0.5, 2.0])
REGIONS = st.frozensets(st.sampled_from(['x', 'y', 'z']))
ROUTES = st.builds(
    RouteRule,
    name=NAMES,
    host=st.sampled_from(['h.example', 'i.example']),
    prefix=st.just('/p/'),
    weighted_services=st.lists(
        st.builds(WeightedService, service=NAMES, weight=SECONDS), min_size=1
    ).map(tuple),
    idempotent=st.booleans(),
    timeout=SECONDS,
    objective=SECONDS,
    priority=st.integers(0, 3),
    max_targets=st.integers(1, 3),
    public=st.booleans(),
    allowed_regions=REGIONS,
)
ACCOUNTS = st.builds(
    ClientAccount,
    name=NAMES,
    keys=st.lists(st.text(max_size=3)).map(tuple),
    priority=st.integers(0, 3),
    rate=SECONDS,
    burst=SECONDS,
    allowed_regions=REGIONS,
)


def some(entries):
    return st.lists(entries, max_size=5).map(tuple)


DECLARATIONS = st.builds(
    Declaration,
    version=st.integers(1, 9),
    routes=some(ROUTES),
    services=some(st.builds(ServiceRule, name=NAMES, warmup_rate=SECONDS)),
    accounts=some(ACCOUNTS),
    limits=st.builds(RequestLimits, idle_timeout=SECONDS),
    unknown_kinds=st.lists(NAMES).map(tuple),
)


def pass_on(declaration, base, base_of_receiver):
    fingerprint = compute_fingerprint(declaration)
    change = decode_change(
        encode_change(
            declaration, fingerprint, base, base and compute_fingerprint(base)
        )
    )
    base_fingerprint = NO_FINGERPRINT
    if base_of_receiver is not None:
        base_fingerprint = compute_fingerprint(base_of_receiver)
    return apply_change(change, base_of_receiver, base_fingerprint)


def sort_entries(declaration):
    return replace(
        declaration,
        routes=tuple(sorted(declaration.routes, key=repr)),
        services=tuple(sorted(declaration.services, key=repr)),
        accounts=tuple(sorted(declaration.accounts, key=repr)),
    )


@given(former=st.none() | DECLARATIONS, newer=DECLARATIONS)
def test_change_leads_to_the_same_declaration(former, newer):
    received = pass_on(newer, former, former)
    assert sort_entries(received) == sort_entries(newer)


@given(former=DECLARATIONS, newer=DECLARATIONS, other=DECLARATIONS)
def test_change_of_another_declaration_is_refused_or_leads_to_the_same(
    former, newer, other
):
    try:
        received = pass_on(newer, former, other)
    except ChangeError:
        assert sort_entries(former) != sort_entries(other)
    else:
        assert sort_entries(received) == sort_entries(newer)


def test_declaration_of_the_platform_keeps_its_fingerprint_on_the_way():
    document = configuration(3)
    spec = {'warmup_s': 2, 'warmup_per_s': None}
    document['resources'][3]['spec'] = spec
    split = [{'service': 'till', 'weight': 2}, {'service': 'b', 'weight': 1}]
    document['resources'][0]['spec']['split'] = split
    declaration = decode_declaration(msgspec.json.encode(document))
    assert pass_on(declaration, None, None) == declaration


def encoded_change():
    declaration = decode_declaration(msgspec.json.encode(configuration(3)))
    return encode_change(declaration, compute_fingerprint(declaration))


@pytest.mark.parametrize(
    'blob',
    [
        b'',
        b'no change',
        encoded_change()[:-1],
        zlib.compress(msgspec.msgpack.encode([1, 2])),
        zlib.compress(bytes(MAX_DECODED_BYTES + 1)),
    ],
)
def test_bytes_that_are_no_change_are_refused(blob):
    with pytest.raises(ChangeError):
        decode_change(blob)


def test_change_that_leads_elsewhere_than_it_says_is_refused():
    declaration = decode_declaration(msgspec.json.encode(configuration(3)))
    change = decode_change(encode_change(declaration, 12345))
    with pytest.raises(ChangeError, match='another declaration'):
        apply_change(change, None, NO_FINGERPRINT)

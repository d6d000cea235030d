"""Packing of a configuration into values for the platform, and back."""

from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from clementinedeal._declaration import check_file
from clementinedeal._model import PresetName
from clementinedeal._publication import (
    FORMAT,
    MAX_VALUE_BYTES,
    PartCache,
    pack,
    read_root,
    unpack,
)
from clementinedeal_bench._large_config import large_config

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'freshwater.yaml'


def example():
    return check_file(str(EXAMPLE)).unwrap()


def read_back(publication):
    return unpack(read_root(publication.root).unwrap(), publication.parts)


@given(st.permutations(list(example().accounts)), st.integers(1, 8), st.data())
def test_packing_does_not_depend_on_the_order_of_entries(names, count, data):
    cfg = example()
    kept = {name: cfg.accounts[name] for name in names[:count]}
    routes = data.draw(st.permutations(cfg.routes))
    preset = data.draw(st.sampled_from(PresetName))
    cfg = replace(cfg, accounts=kept, routes=tuple(routes), preset=preset)
    publication = pack(cfg).unwrap()
    unpacked = read_back(publication).unwrap()
    assert replace(unpacked, routes=cfg.routes) == cfg
    assert set(unpacked.routes) == set(cfg.routes)
    assert pack(unpacked).unwrap() == publication


@given(st.integers(0, 2399), st.booleans())
def test_a_changed_account_changes_at_most_one_part(index, remove):
    cfg = LARGE
    accounts = dict(cfg.accounts)
    name = sorted(accounts)[index]
    if remove:
        del accounts[name]
    else:
        accounts[name] = replace(accounts[name], key_digests=('f' * 64,))
    after = pack(replace(cfg, version=2, accounts=accounts)).unwrap()
    root = read_root(after.root).unwrap()
    assert unpack(root, after.parts, PART_CACHE) == unpack(root, after.parts)
    assert len(set(after.parts) - set(PUBLISHED.parts)) <= 1
    assert read_back(after).unwrap().accounts == accounts


def test_a_preset_switch_changes_only_the_root():
    after = pack(replace(LARGE, preset=PresetName.PEAK)).unwrap()
    assert after.parts == PUBLISHED.parts
    assert after.root != PUBLISHED.root


def test_every_value_fits_the_platform():
    assert all(len(blob) <= MAX_VALUE_BYTES for _, blob in PUBLISHED.values())
    assert list(PUBLISHED.values())[-1][0] == 'root'


def test_a_value_over_the_size_limit_is_an_error():
    cfg = example()
    account = cfg.accounts['erie-shop']
    digests = tuple(f'{number:064x}' for number in range(20_000))
    large = replace(account, key_digests=digests)
    assert isinstance(pack(replace(cfg, accounts={'a': large})), Err)


@pytest.mark.parametrize('field', ['parts', 'digest', 'fault', 'twice'])
def test_a_faulty_publication_is_rejected(field):
    cfg = example()
    if field == 'fault':
        cfg = replace(cfg, services={})
    publication = pack(cfg).unwrap()
    root = read_root(publication.root).unwrap()
    parts = dict(publication.parts)
    if field == 'parts':
        parts.popitem()
    elif field == 'digest':
        digest, blob = parts.popitem()
        parts[digest] = blob + b'\0'
    elif field == 'twice':
        doubled = {name: ids * 2 for name, ids in root.parts.items()}
        root = replace(root, parts=doubled)
    assert isinstance(unpack(root, parts), Err)


@given(st.binary(max_size=64) | st.just(pack(example()).unwrap().root[:-1]))
def test_a_malformed_root_is_an_error(blob):
    assert isinstance(read_root(blob), Err)


def test_a_root_of_another_format_is_an_error():
    root = read_root(PUBLISHED.root).unwrap()
    other = msgspec.msgpack.encode(replace(root, format=FORMAT + 1))
    assert isinstance(read_root(other), Err)


LARGE = large_config(accounts=2400, routes=370, targets=540, instances=65)
PUBLISHED = pack(LARGE).unwrap()
PART_CACHE = PartCache()
unpack(read_root(PUBLISHED.root).unwrap(), PUBLISHED.parts, PART_CACHE)

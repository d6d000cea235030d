"""Declaration and settings files: valid examples and error messages."""

import copy
from pathlib import Path

import pytest
import yaml
from result import Err, Ok

from clementinedeal._declaration import check_file
from clementinedeal._settings import load_settings
from clementinedeal_bench._examples import FRESHWATER, SABARMATI, render

EXAMPLES = Path(__file__).parent.parent / 'examples'
DIGEST = 'ab' * 32

SETTINGS = {
    'instance': 'i0',
    'zone': 'Duluth',
    'region': 'lakes',
    'caller': '127.0.0.1:1',
    'peer': '127.0.0.1:2',
    'control': '127.0.0.1:3',
    'operator': '127.0.0.1:4',
    'platform': ['127.0.0.1:9'],
    'fleet_keys': {'k2': 'aa' * 32, 'k1': 'bb' * 32},
}

DECLARATION_FAULTS = [
    ('version', 0),
    ('version', '1'),
    ('version', True),
    ('preset', 'busy'),
    ('presets.peak', None),
    ('presets.busy', {}),
    ('presets.peak.deadline', float('nan')),
    ('presets.peak.retry_ratio', -0.1),
    ('presets.peak.floors', {'status': 9}),
    ('presets.peak.floors', {'lookup': 1}),
    ('services.status.floor', 9),
    ('services.status.flor', 1),
    ('services.bad name', {'floor': 0}),
    ('instances.freshwater-00.peer', 'localhost:21001'),
    ('instances.freshwater-00.peer', '127.0.0.1:21000'),
    ('instances.freshwater-01.peer', '127.0.0.1:21000'),
    ('targets.status-00.service', 'lookup'),
    ('targets.status-00.instance', 'nowhere'),
    ('targets.status-00.address', '127.0.0.1:70000'),
    ('targets.status-00.address', '127.0.0.1:21015'),
    ('targets.status-00.slots', 0),
    ('targets.status-00.connections', 6),
    ('routes.1.prefix', '/status/'),
    ('routes.1.prefix', 'status'),
    ('routes.1.method', 'get'),
    ('routes.1.service', 'lookup'),
    ('accounts.shops-app.rate', 0),
    ('accounts.shops-app.rate', float('inf')),
    ('accounts.shops-app.burst', 0.5),
    ('accounts.shops-app.services', ['lookup']),
    ('accounts.shops-app.key_digests', ['AB' * 32]),
    ('accounts.shops-app.key_digests', [DIGEST, DIGEST]),
    ('accounts.shops-app.key_digests', 'erie-shop'),
    ('accounts.shops-app', []),
]

SETTINGS_FAULTS = [
    ('instance', ''),
    ('caller', '127.0.0.1'),
    ('caller', '127.0.0.1:2'),
    ('platform', []),
    ('platform', ['127.0.0.1:0']),
    ('fleet_keys', {}),
    ('fleet_keys', {'k1': 'zz'}),
    ('fleet_keys', {'k1': 'aa'}),
    ('limits', {'max_head_bytes': 0}),
    ('limits', {'max_heads': 1}),
    ('limits', {'idle_timeout_seconds': 'long'}),
    ('operators', '127.0.0.1:4'),
]


def change(document, path, value):
    changed = copy.deepcopy(document)
    *parents, last = path.split('.')
    entry = changed
    for parent in parents:
        entry = entry[int(parent) if parent.isdigit() else parent]
    if value is None:
        del entry[last]
    elif value == 'erie-shop':
        entry[last] = changed['accounts'][value][last]
    else:
        entry[last] = value
    return changed


def error_line(check, document, tmp_path):
    path = tmp_path / 'faulty.yaml'
    path.write_text(yaml.safe_dump(document, sort_keys=False))
    outcome = check(str(path))
    assert isinstance(outcome, Err)
    return str(outcome.err_value).removeprefix(f'{tmp_path}/')


@pytest.mark.parametrize('example', [FRESHWATER, SABARMATI])
def test_the_examples_are_valid_and_match_their_generator(example):
    path = EXAMPLES / f'{example.name}.yaml'
    assert path.read_text() == render(example)
    outcome = check_file(str(path))
    assert isinstance(outcome, Ok), outcome
    cfg = outcome.ok_value
    assert len(cfg.instances) == len(cfg.targets) == 27
    assert {i.zone for i in cfg.instances.values()} == set(example.zones)


def test_declaration_error_lines(tmp_path, snapshot):
    valid = yaml.safe_load(render(FRESHWATER))
    assert snapshot == [
        error_line(check_file, change(valid, path, value), tmp_path)
        for path, value in DECLARATION_FAULTS
    ]


def test_settings_error_lines(tmp_path, snapshot):
    assert snapshot == [
        error_line(load_settings, change(SETTINGS, path, value), tmp_path)
        for path, value in SETTINGS_FAULTS
    ]


@pytest.mark.parametrize(
    'text',
    ['a: 1\na: 2', 'a: [', '[' * 9000, '', '- 1', '1: 2', '!!python/none x'],
)
@pytest.mark.parametrize('check', [check_file, load_settings])
def test_a_malformed_file_gives_an_error_of_one_line(tmp_path, check, text):
    path = tmp_path / 'faulty.yaml'
    path.write_text(text)
    error = check(str(path)).unwrap_err()
    assert '\n' not in str(error)


@pytest.mark.parametrize('check', [check_file, load_settings])
def test_an_unreadable_file_is_an_error(tmp_path, check):
    assert isinstance(check(str(tmp_path / 'none.yaml')), Err)
    (tmp_path / 'binary').write_bytes(b'\xff\xfe\x00')
    assert isinstance(check(str(tmp_path / 'binary')), Err)


def test_settings_keep_the_key_order_and_hide_secrets(tmp_path):
    path = tmp_path / 'daemon.yaml'
    path.write_text(yaml.safe_dump(SETTINGS, sort_keys=False))
    cfg = load_settings(str(path)).unwrap()
    assert [key.name for key in cfg.fleet_keys] == ['k2', 'k1']
    assert 'xaa' not in repr(cfg)


def test_a_key_given_twice_is_an_error(tmp_path):
    path = tmp_path / 'twice.yaml'
    path.write_text(f'version: 2\n{render(FRESHWATER)}')
    error = check_file(str(path)).unwrap_err()
    assert 'key version is given twice' in error.reason

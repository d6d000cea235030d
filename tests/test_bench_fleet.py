"""Processes and declarations that the bench programs start and write."""

import json
import socket
from dataclasses import replace
from pathlib import Path

import pytest

from clementinedeal_bench._declarations import (
    read_declaration,
    shift_address,
    shift_ports,
    write_declaration,
)
from clementinedeal_bench._demo_traffic import build_scenario, spread_rate
from clementinedeal_bench._errors import BenchError
from clementinedeal_bench._fleet import Fleet, FleetSettings
from clementinedeal_bench._scenario import find_fault
from clementinedeal_bench._status_reader import get, read_executions
from clementinedeal_bench._web_client import split_address
from ports import free_address

DECLARATION = 'examples/sabarmati.yaml'


@pytest.fixture
async def fleet(tmp_path: Path):
    cfg = read_declaration(DECLARATION)
    settings = FleetSettings(
        folder=tmp_path,
        platform_address=free_address(),
        has_daemons=False,
    )
    names = sorted(cfg.targets)[:2]
    targets = {
        name: replace(cfg.targets[name], address=free_address())
        for name in names
    }
    fleet = Fleet(replace(cfg, targets=targets), settings)
    yield fleet
    fleet.close()


async def test_stand_in_processes_serve_until_killed_or_stopped(fleet):
    await fleet.start()
    first, second = fleet.live_targets()
    platform = fleet.publisher.address
    assert await get(platform, '/values/root')
    assert fleet.cfg.instances.keys() == {
        each['name']
        for each in json.loads(await get(platform, '/instances'))['instances']
    }
    assert await get(first.address, '/jobs')
    (run,) = await read_executions(first)
    assert (run.target, run.path) == (first.name, '/jobs')
    fleet.kill(first.name)
    assert await get(first.address, '/probe') is None
    assert fleet.live_targets() == [second]
    assert await fleet.stop(second.name)
    assert fleet.live_targets() == []


async def test_a_port_in_use_fails_the_start_with_its_address(fleet):
    target = next(iter(fleet.cfg.targets.values()))
    with socket.socket() as sock:
        host, port = split_address(target.address)
        sock.bind((host, port))
        with pytest.raises(ExceptionGroup) as raised:
            await fleet.start()
    assert raised.group_contains(BenchError, match=f'listen on .*{port}')


def test_shifted_declarations_are_written_and_read_unchanged(tmp_path):
    cfg = read_declaration(DECLARATION)
    moved = shift_ports(cfg, 500)
    old = cfg.instances['sabarmati-00'].peer
    assert moved.instances['sabarmati-00'].peer == shift_address(old, 500)
    assert shift_ports(moved, -500) == cfg
    write_declaration(moved, tmp_path / 'moved.yaml')
    assert read_declaration(str(tmp_path / 'moved.yaml')) == moved
    traffic = build_scenario(moved, spread_rate(moved, 60), 1)
    assert not find_fault(traffic)
    services = {
        kind.service
        for load in traffic.accounts.values()
        for kind in load.requests
    }
    assert services == set(cfg.services)

"""A store that comes back from a copy and gives out revisions again."""

import trio
from tests.store_standin import configuration, registration

CONFIG_SECONDS = 2


async def test_version_published_after_a_restore_is_in_force_in_time(fleet):
    copy = fleet.store.copy()
    for version in (2, 3, 4):
        fleet.store.put('op/config', configuration(version))
    await trio.sleep(0.3)
    fleet.store.restore(copy)
    await trio.sleep(0.5)
    fleet.store.put('op/config', configuration(5, api_keys=['key-2']))
    await trio.sleep(CONFIG_SECONDS)
    for number in range(3):
        answer, _ = await fleet.send(number, '/look/1')
        assert answer.status == 401


async def test_target_that_left_before_a_restore_stays_unused(fleet):
    copy = fleet.store.copy()
    address = fleet.settings[1].target_address
    fleet.store.put('servers/t1', registration(address, state='draining'))
    await trio.sleep(2)
    fleet.store.restore(copy)
    for version in (2, 3):
        fleet.store.put('op/config', configuration(version))
    seen = len(fleet.targets[1].executed)
    for _ in range(20):
        for number in range(3):
            await fleet.send(number, '/look/1')
        await trio.sleep(0.1)
    assert len(fleet.targets[1].executed) == seen

"""Load and check of the cases on QUOTA."""

import asyncio

import standins as st

RATE, WINDOW = 4.0, 5.0
# One daemon counts the requests of each tenant. With the addresses of these
# cases it is the first machine for tenant6 and tenant8, another one for the
# other two.
TENANTS = ('tenant0', 'tenant1', 'tenant6', 'tenant8')


def allowed(burst):
    """Return (rate x window + burst) x (1 + quota_over) + quota_slack."""
    return (RATE * WINDOW + burst) * 1.25 + 20


def configuration(version, burst=4.0, tail=0):
    """Return the configuration; ``tail`` varies a route that nobody uses."""
    tenants = [
        (name, {'api_keys': [f'key-{name}'], 'priority': 1,
                'rate_per_s': RATE, 'burst': burst})
        for name in TENANTS
    ]
    routes = [
        st.route('/look/', 'till', attempts=1),
        st.route(f'/unused{tail}/', 'till'),
    ]
    return st.configuration(version, routes, tenants)


class Load:
    """Sends requests of each tenant to some machines and counts the runs."""

    def __init__(self, fleet, machines, per_second):
        self._fleet, self._machines = fleet, machines
        self._pause = len(machines) / per_second
        self._sent = {}
        self._calls = set()

    async def run(self, seconds):
        async with asyncio.TaskGroup() as group:
            for name in TENANTS:
                for machine in self._machines:
                    group.create_task(self._client(name, machine, seconds))
        await asyncio.wait(self._calls)

    async def _client(self, name, machine, seconds):
        record = self._fleet.record
        ends = record.now() + seconds
        index = 0
        while record.now() < ends:
            index += 1
            attempt = f'{name}-{machine.name}-{index}'
            self._sent[attempt] = record.now(), name
            record(f'{attempt} sent to {machine.name}')
            self._calls.add(
                asyncio.create_task(self._call(attempt, name, machine))
            )
            await asyncio.sleep(self._pause)

    async def _call(self, attempt, name, machine):
        headers = {
            'Attempt-Id': attempt, 'Deadline-Ms': 4000,
            'Authorization': f'Bearer key-{name}',
        }
        try:
            status = (await st.request(
                machine.outbound, '/look/a', headers, 6))[0]
        except (OSError, TimeoutError) as exc:
            status = repr(exc)
        self._fleet.record(f'{attempt} answered {status}')

    def judge(self, burst=4.0):
        """Return the exit code: the most runs of a tenant in any window."""
        ran = {run[1]: run[0] for up in self._fleet.upstreams for run in up.runs}
        if not ran:
            return st.NOT_RUN
        code = st.HELD
        for name in TENANTS:
            spans = sorted(
                (at, ran[attempt]) for attempt, (at, owner) in self._sent.items()
                if owner == name and attempt in ran
            )
            most = max(
                sum(
                    begin <= sent and arrived < begin + WINDOW
                    for sent, arrived in spans
                )
                for begin, _ in spans
            ) if spans else 0
            self._fleet.record(
                f'{name}: at most {most} were sent and ran in {WINDOW} s;'
                f' allowed {allowed(burst)}'
            )
            if most > allowed(burst):
                code = st.BROKEN
        return code

"""Links between daemons that can be cut, for TCP and UDP.

Each daemon has its own ports for other daemons and takes them for those of all.
So what daemon ``y`` sends to daemon ``x`` arrives at the address of ``x`` and
the port of ``y``, where a link waits and passes it on.
"""

import contextlib

import trio


class Links:
    """Links between all pairs of daemons.

    :param daemons: objects with ``host``, ``peer_port`` and ``datagram_port``.
    """

    def __init__(self, daemons):
        self._daemons = daemons
        self._sockets = {}
        self._cut = set()
        self._healed = trio.Event()

    def cut(self, one, other):
        """Hold back all bytes between two daemons, drop all datagrams."""
        self._cut |= {(one, other), (other, one)}

    def heal(self):
        """End all cuts."""
        self._cut.clear()
        self._healed.set()
        self._healed = trio.Event()

    async def start(self, nursery):
        for to in self._daemons:
            for source in self._daemons:
                if source is to:
                    continue
                sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
                await sock.bind((to.host, source.datagram_port))
                self._sockets[to, source] = sock
                [listener] = await trio.open_tcp_listeners(
                    source.peer_port, host=to.host
                )
                nursery.start_soon(self._serve, listener, source, to)
        for (to, source), sock in self._sockets.items():
            nursery.start_soon(self._carry_datagrams, sock, source, to)

    async def _carry_datagrams(self, sock, source, to):
        out = self._sockets[source, to]
        while True:
            with contextlib.suppress(OSError):
                blob, _ = await sock.recvfrom(65536)
                if (source, to) not in self._cut:
                    await out.sendto(blob, (to.host, to.datagram_port))

    async def _serve(self, listener, source, to):
        async def carry(stream):
            await self._carry(stream, source, to)

        await trio.serve_listeners(carry, [listener])

    async def _wait_open(self, source, to):
        while (source, to) in self._cut:
            await self._healed.wait()

    async def _carry(self, near, source, to):
        await self._wait_open(source, to)
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            far = await trio.open_tcp_stream(
                to.host, to.peer_port, local_address=source.host
            )
            async with near, far, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, source, to, nursery)
                nursery.start_soon(self._copy, far, near, source, to, nursery)

    async def _copy(self, near, far, source, to, nursery):
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while blob := await near.receive_some(65536):
                await self._wait_open(source, to)
                await far.send_all(blob)
        await self._wait_open(source, to)
        nursery.cancel_scope.cancel()

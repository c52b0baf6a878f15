"""TCP relays that inject network faults into connections.

A relay forwards bytes in both directions between clients and one target:

| call                 | effect on open and new connections                        |
|----------------------|-----------------------------------------------------------|
| `cut()`              | open ones break, new ones are refused                     |
| `hold(FORWARD)`      | no bytes from the client arrive; connections stay open    |
| `hold(BACKWARD)`     | no bytes from the target arrive; connections stay open    |
| `delay(ms)`          | each chunk of bytes arrives later by this time            |
| `heal()`             | all faults end; the bytes that were held arrive now       |

TCP loses no bytes within an open connection, so a one-way fault delays them until
`heal` instead of dropping them.
"""

import asyncio
import contextlib

from jujubeglade.core import clock

FORWARD = "forward"
BACKWARD = "backward"
_HOST = "127.0.0.1"
_READ_BYTES = 64 * 1024


class Relay:
    """One relay; the module's doc string lists its faults."""

    __slots__ = (
        "_delay_ms",
        "_is_cut",
        "_forwarding",
        "_server",
        "_target",
        "_writers",
        "forwarded_bytes",
    )

    def __init__(self, target):
        """Create a relay; `open` starts its listener.

        Args:
          target: A pair of a host and a port.
        """
        self._target = target
        self._forwarding = {FORWARD: asyncio.Event(), BACKWARD: asyncio.Event()}
        self._delay_ms = 0
        self._is_cut = False
        self._writers = set()
        self._server = None
        self.forwarded_bytes = 0
        self.heal()

    @property
    def port(self):
        """Return the port that the relay listens on, once open."""
        return self._server.sockets[0].getsockname()[1]

    async def open(self, port=0):
        """Open the listener.

        Args:
          port: An integer; 0 takes any free port.
        """
        self._server = await asyncio.start_server(self._accept, _HOST, port)

    def cut(self):
        """Break all connections and refuse new ones."""
        self._is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def hold(self, direction):
        """Stop forwarding in one direction and keep connections open.

        Args:
          direction: FORWARD or BACKWARD.
        """
        self._forwarding[direction].clear()

    def delay(self, delay_ms):
        """Delay each chunk of bytes.

        Args:
          delay_ms: A number.
        """
        self._delay_ms = delay_ms

    def heal(self):
        """End all faults."""
        self._is_cut = False
        self._delay_ms = 0
        for event in self._forwarding.values():
            event.set()

    async def close(self):
        """Stop listening and break all connections."""
        self._server.close()
        self.cut()

    async def _accept(self, reader, writer):
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, FORWARD),
                self._forward(target_reader, writer, BACKWARD),
            )
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _forward(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await self._forwarding[direction].wait()
                if self._delay_ms:
                    await asyncio.sleep(clock.seconds(self._delay_ms))
                writer.write(data)
                self.forwarded_bytes += len(data)
                await writer.drain()
            # The end of the stream is held as its bytes are.
            await self._forwarding[direction].wait()
        writer.close()


async def open_relay(target, port=0):
    """Open a relay.

    Args:
      target: A pair of a host and a port.
      port: An integer; 0 takes any free port.

    Returns:
      A Relay.
    """
    relay = Relay(target)
    await relay.open(port)
    return relay

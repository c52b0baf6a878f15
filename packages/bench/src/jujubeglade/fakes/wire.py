"""Wires: small TCP relays by which a test cuts, silences and delays links.

A relay stands between a dialer and its target and forwards bytes both ways:

| call                 | effect on open and new connections                        |
|----------------------|-----------------------------------------------------------|
| `cut()`              | open ones break, new ones are refused                     |
| `hold(FORWARD)`      | nothing from the dialer arrives; the connection stays open|
| `hold(BACKWARD)`     | nothing from the target arrives                           |
| `delay(ms)`          | each piece of bytes arrives that much later               |
| `heal()`             | all is well; what was held arrives now, late              |

TCP loses no bytes within a connection, so a one-way cut holds them.
"""

import asyncio
import contextlib

from jujubeglade.core import clock

FORWARD = "forward"
BACKWARD = "backward"
_HOST = "127.0.0.1"
_READ_BYTES = 64 * 1024


class Relay:
    """One relay; see the module's table."""

    __slots__ = (
        "_delay_ms",
        "_is_cut",
        "_passing",
        "_server",
        "_target",
        "_writers",
        "forwarded_bytes",
    )

    def __init__(self, target):
        """Prepare a relay; `open` starts it.

        Args:
          target: A pair of a host and a port.
        """
        self._target = target
        self._passing = {FORWARD: asyncio.Event(), BACKWARD: asyncio.Event()}
        self._delay_ms = 0
        self._is_cut = False
        self._writers = set()
        self._server = None
        self.forwarded_bytes = 0
        self.heal()

    @property
    def port(self):
        """Return the port that dialers use, once open."""
        return self._server.sockets[0].getsockname()[1]

    async def open(self, port=0):
        """Listen.

        Args:
          port: An integer; 0 takes any.
        """
        self._server = await asyncio.start_server(self._accept, _HOST, port)

    def cut(self):
        """Break all connections and refuse new ones."""
        self._is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def hold(self, direction):
        """Let nothing pass in one direction, keeping connections open.

        Args:
          direction: FORWARD or BACKWARD.
        """
        self._passing[direction].clear()

    def delay(self, delay_ms):
        """Delay what passes.

        Args:
          delay_ms: A number.
        """
        self._delay_ms = delay_ms

    def heal(self):
        """End all faults."""
        self._is_cut = False
        self._delay_ms = 0
        for passing in self._passing.values():
            passing.set()

    async def close(self):
        """Stop listening and break all connections."""
        self._server.close()
        self.cut()

    async def _accept(self, reader, writer):
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, FORWARD),
                self._forward(far_reader, writer, BACKWARD),
            )
        finally:
            self._writers -= pair
            for each in pair:
                each.close()

    async def _forward(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await self._passing[direction].wait()
                if self._delay_ms:
                    await asyncio.sleep(clock.seconds(self._delay_ms))
                writer.write(data)
                self.forwarded_bytes += len(data)
                await writer.drain()
            # The end of the stream is held like its bytes.
            await self._passing[direction].wait()
        writer.close()


async def open_relay(target, port=0):
    """Open a relay.

    Args:
      target: A pair of a host and a port.
      port: An integer; 0 takes any.

    Returns:
      A Relay.
    """
    relay = Relay(target)
    await relay.open(port)
    return relay

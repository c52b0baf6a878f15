"""A stand-in for the platform's store with fault injection.

It implements the published JSON gateway of etcd v3 in memory. Its faults are:

| control field  | effect                                                            |
|----------------|-------------------------------------------------------------------|
| `down`         | open connections break, new ones are refused                      |
| `hang`         | calls wait until the hang ends and only then take effect          |
| `delay_ms`     | each call waits for this time before it takes effect              |
| `lose_answers` | this number of writes take effect, but their connections break    |
| `lapse_leases` | all leases end now                                                |

Tests use a `FakeStore` in their own event loop, or run it as a separate process::

    python -m jujubeglade.fakes.store --port 0 --control-port 0

which prints one JSON line with the ``address`` and the ``control`` URL. The control
interface has its own listener, since the gateway accepts no connections while down.
"""

import asyncio
import collections
import json
import socket

import typer
from aiohttp import web

from jujubeglade.core import clock
from jujubeglade.fakes import _gateway as gateway
from jujubeglade.fakes import _memory

_HOST = "127.0.0.1"
_EXPIRY_INTERVAL_MS = 100
_MAX_BODY_BYTES = 4_000_000
_SHUTDOWN_TIMEOUT_MS = 50
_WRITE_KINDS = ("put", "txn", "grant", "revoke")


class FakeStore:
    """One stand-in server; the module's doc string lists its faults."""

    __slots__ = (
        "_clock",
        "_control",
        "_counts",
        "_gateway",
        "_delay_ms",
        "_lose_answers",
        "_memory",
        "_not_hanging",
        "_transports",
        "_reserved_socket",
        "_site",
        "_expiry_task",
        "_watchers",
    )

    def __init__(self, lease_clock):
        """Create a stand-in; `start` opens its listeners.

        Args:
          lease_clock: A Clock, by which leases expire.
        """
        self._clock = lease_clock
        self._memory = _memory.Memory(lease_clock)
        self._counts = collections.Counter()
        self._delay_ms = 0
        self._lose_answers = 0
        self._not_hanging = asyncio.Event()
        self._not_hanging.set()
        self._watchers = set()
        self._transports = set()
        self._site = None
        self._expiry_task = None

    @property
    def address(self):
        """The base URL of the gateway, a string."""
        return f"http://{_HOST}:{self._reserved_socket.getsockname()[1]}"

    @property
    def control_address(self):
        """The base URL of the control listener, a string."""
        return f"http://{_HOST}:{self._control.addresses[0][1]}"

    @property
    def counts(self):
        """The number of calls received, a dict by kind; a watch counts once."""
        return dict(self._counts)

    @property
    def watchers(self):
        """The number of open watches, an integer."""
        return len(self._watchers)

    async def start(self, port=0, control_port=0):
        """Open the listeners of the gateway and the control interface.

        Args:
          port: An integer, the gateway's port; 0 takes a free one.
          control_port: An integer, the control listener's port.
        """
        # A bound socket that never listens reserves the port while the store is down.
        self._reserved_socket = socket.socket()
        self._reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._reserved_socket.bind((_HOST, port))
        self._gateway = await _new_runner(self._gateway_routes())
        self._control = await _new_runner(self._control_routes())
        await web.TCPSite(self._control, _HOST, control_port).start()
        await self._listen()
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def close(self):
        """Stop listening and break the open connections."""
        self._expiry_task.cancel()
        self._not_hanging.set()
        self._break_connections()
        await self._gateway.cleanup()
        await self._control.cleanup()
        self._reserved_socket.close()

    async def set_down(self, down):
        """Refuse connections, or accept them again.

        Args:
          down: A boolean.
        """
        if down and self._site is not None:
            await self._site.stop()
            self._site = None
            self._break_connections()
        elif not down and self._site is None:
            await self._listen()

    def set_hang(self, hang):
        """Block all calls, or let them continue.

        Args:
          hang: A boolean.
        """
        if hang:
            self._not_hanging.clear()
        else:
            self._not_hanging.set()

    def set_delay(self, delay_ms):
        """Delay each call.

        Args:
          delay_ms: A number.
        """
        self._delay_ms = delay_ms

    def lose_answers(self, count):
        """Apply the next writes without answering them.

        Args:
          count: An integer, the number of writes.
        """
        self._lose_answers = count

    def lapse_leases(self):
        """End all leases now."""
        self._notify(self._memory.expire_leases(everything=True))

    async def _listen(self):
        """Open the gateway's listener on its reserved port."""
        port = self._reserved_socket.getsockname()[1]
        self._site = web.TCPSite(self._gateway, _HOST, port, reuse_port=True)
        await self._site.start()

    def _break_connections(self):
        """Break all connections, whether a call is in progress or not."""
        for transport in list(self._transports):
            transport.abort()
        self._transports.clear()

    async def _expire_leases(self):
        """End expired leases at regular intervals."""
        while True:
            await asyncio.sleep(clock.seconds(_EXPIRY_INTERVAL_MS))
            self._notify(self._memory.expire_leases())

    def _notify(self, pairs):
        """Queue events for the watches whose range covers them."""
        for pair in pairs:
            for watcher in self._watchers:
                if watcher.covers(pair.key):
                    watcher.events.put_nowait(pair)

    def _gateway_routes(self):
        """List the routes of the published gateway."""
        handlers = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keepalive,
            "/v3/lease/revoke": self._revoke,
        }
        routes = [
            web.post(path, self._wrap(path.rpartition("/")[2], handler))
            for path, handler in handlers.items()
        ]
        return [*routes, web.post("/v3/watch", self._watch)]

    def _control_routes(self):
        """List the routes of the control interface."""
        return [
            web.get("/control", self._show),
            web.post("/control", self._change),
        ]

    async def _admit(self, request, kind):
        """Count a call and apply the faults that delay its effect."""
        self._counts[kind] += 1
        self._transports.add(request.transport)
        if self._delay_ms:
            await asyncio.sleep(clock.seconds(self._delay_ms))
        await self._not_hanging.wait()

    def _wrap(self, kind, handler):
        """Wrap a handler with the count of its calls and the faults.

        Args:
          kind: A string, under which the calls are counted.
          handler: A function from a request body to an answer, both dicts.

        Returns:
          A coroutine function for aiohttp.
        """

        async def handle(request):
            body = await request.json()
            transport = request.transport
            await self._admit(request, kind)
            try:
                answer = handler(body)
            except _memory.TooLargeError:
                return _refuse("request is too large")
            except _memory.NoLeaseError:
                return _refuse("requested lease not found", 404)
            except (KeyError, ValueError) as error:
                return _refuse(str(error))
            if kind in _WRITE_KINDS and self._lose_answers:
                self._lose_answers -= 1
                transport.abort()
            return web.json_response({"header": gateway.header(self._memory)} | answer)

        return handle

    def _range(self, body):
        """Answer a range read."""
        end = gateway.decode(body.get("range_end"))
        pairs = self._memory.range(gateway.decode(body["key"]), end)
        if not pairs:
            return {}
        kvs = [gateway.pair_fields(pair) for pair in pairs]
        return {"kvs": kvs, "count": str(len(kvs))}

    def _put(self, body):
        """Write one key."""
        lease_id = int(body.get("lease", 0))
        value = gateway.decode(body.get("value"))
        pair = self._memory.put(gateway.decode(body["key"]), value, lease_id)
        self._notify([pair])
        return {}

    def _txn(self, body):
        """Compare, then write."""
        if not all(gateway.holds(self._memory, c) for c in body["compare"]):
            return {}
        for operation in body["success"]:
            self._put(operation["request_put"])
        return {"succeeded": True, "responses": [{"response_put": {}}]}

    def _grant(self, body):
        """Grant a lease."""
        ttl_s = int(body["TTL"])
        lease_id = self._memory.grant(ttl_s * clock.MILLISECONDS_PER_SECOND)
        return {"ID": str(lease_id), "TTL": str(ttl_s)}

    def _keepalive(self, body):
        """Renew a lease."""
        ttl_ms = self._memory.keepalive(int(body["ID"]))
        fields = {"ID": body["ID"]}
        if ttl_ms:
            fields["TTL"] = str(ttl_ms // clock.MILLISECONDS_PER_SECOND)
        return {"result": fields}

    def _revoke(self, body):
        """End a lease."""
        self._notify(self._memory.revoke(int(body["ID"])))
        return {}

    async def _watch(self, request):
        """Stream the events of a range until the client disconnects."""
        created = (await request.json())["create_request"]
        await self._admit(request, "watch")
        start = gateway.decode(created["key"])
        end = gateway.decode(created.get("range_end"))
        watcher = _memory.Watcher(start, end)
        first_revision = int(created.get("start_revision", 0))
        if first_revision:
            for pair in self._memory.history(start, end, first_revision):
                watcher.events.put_nowait(pair)
        self._watchers.add(watcher)
        try:
            return await self._stream(request, watcher)
        finally:
            self._watchers.discard(watcher)

    async def _stream(self, request, watcher):
        """Write the events of one watch as lines of JSON."""
        response = web.StreamResponse()
        await response.prepare(request)
        header = gateway.header(self._memory)
        await _write_line(response, {"result": {"header": header, "created": True}})
        while True:
            pair = await watcher.events.get()
            await self._not_hanging.wait()
            await _write_line(response, gateway.event_message(self._memory, [pair]))

    async def _show(self, _request):
        """Answer with the counts of calls and the present faults."""
        return web.json_response(
            {
                "counts": self.counts,
                "revision": self._memory.revision,
                "down": self._site is None,
                "hang": not self._not_hanging.is_set(),
                "delay_ms": self._delay_ms,
                "lose_answers": self._lose_answers,
            }
        )

    async def _change(self, request):
        """Set the faults in the body, then answer as `_show` does."""
        body = await request.json()
        if "delay_ms" in body:
            self.set_delay(body["delay_ms"])
        if "lose_answers" in body:
            self.lose_answers(body["lose_answers"])
        if "hang" in body:
            self.set_hang(body["hang"])
        if "down" in body:
            await self.set_down(body["down"])
        if body.get("lapse_leases"):
            self.lapse_leases()
        return await self._show(request)


def _refuse(message, status=400):
    """Build an error answer in the gateway's format."""
    return web.json_response({"error": message, "message": message}, status=status)


async def _write_line(response, message):
    """Write one JSON document as a line."""
    await response.write(json.dumps(message).encode() + b"\n")


async def _new_runner(routes):
    """Set up an aiohttp application runner for some routes."""
    application = web.Application(client_max_size=_MAX_BODY_BYTES)
    application.add_routes(routes)
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=False,
        shutdown_timeout=clock.seconds(_SHUTDOWN_TIMEOUT_MS),
    )
    await runner.setup()
    return runner


async def start(port=0, control_port=0):
    """Start a stand-in in the running event loop.

    Args:
      port: An integer, the gateway's port; 0 takes a free one.
      control_port: An integer, the control listener's port.

    Returns:
      A FakeStore that listens.
    """
    fake = FakeStore(clock.system_clock())
    await fake.start(port, control_port)
    return fake


async def _serve(port, control_port):
    """Run a stand-in until the process ends."""
    fake = await start(port, control_port)
    urls = {"address": fake.address, "control": f"{fake.control_address}/control"}
    print(json.dumps(urls), flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await fake.close()


def main(port: int = 0, control_port: int = 0):
    """Serve a stand-in store on 127.0.0.1 until interrupted."""
    asyncio.run(_serve(port, control_port))


if __name__ == "__main__":
    typer.run(main)

"""A stand-in for the platform's store, with its faults.

It speaks the published JSON gateway of etcd v3, from memory, and fails on demand:

| control field  | effect                                                            |
|----------------|-------------------------------------------------------------------|
| `down`         | connections are refused; those that are open break                |
| `hang`         | calls wait until the hang ends, then take effect late             |
| `delay_ms`     | each call waits so long before its effect                         |
| `lose_answers` | the next so many writes take effect, then the connection breaks   |
| `lapse_leases` | all leases end now                                                |

Tests use a `FakeStore` in their own loop, or run it as a process of its own::

    python -m jujubeglade.fakes.store --port 0 --control-port 0

which prints one JSON line with the ``address`` and the ``control`` URL. Control is
a listener of its own, since a refused connection cannot be told to come back.
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
_SWEEP_MS = 100
_BODY_LIMIT_BYTES = 4_000_000
_SHUTDOWN_MS = 50
_WRITES = ("put", "txn", "grant", "revoke")


class FakeStore:
    """One stand-in server; see the module for its faults."""

    __slots__ = (
        "_clock",
        "_control",
        "_counts",
        "_data",
        "_delay_ms",
        "_lose_answers",
        "_memory",
        "_not_hanging",
        "_open",
        "_reserved",
        "_site",
        "_sweeper",
        "_watchers",
    )

    def __init__(self, a_clock):
        """Prepare a stand-in that does not listen yet.

        Args:
          a_clock: A Clock, by which leases lapse.
        """
        self._clock = a_clock
        self._memory = _memory.Memory(a_clock)
        self._counts = collections.Counter()
        self._delay_ms = 0
        self._lose_answers = 0
        self._not_hanging = asyncio.Event()
        self._not_hanging.set()
        self._watchers = set()
        self._open = set()
        self._site = None
        self._sweeper = None

    @property
    def address(self):
        """The base URL of the gateway, a string."""
        return f"http://{_HOST}:{self._reserved.getsockname()[1]}"

    @property
    def control_address(self):
        """The base URL of the control listener, a string."""
        return f"http://{_HOST}:{self._control.addresses[0][1]}"

    @property
    def counts(self):
        """The calls received so far, a dict by kind; a watch counts once."""
        return dict(self._counts)

    @property
    def watchers(self):
        """How many watches wait, an integer."""
        return len(self._watchers)

    async def start(self, port=0, control_port=0):
        """Listen.

        Args:
          port: An integer, the gateway's port; 0 takes a free one.
          control_port: An integer, the control listener's port.
        """
        # A second socket that never listens keeps the port ours while refusing.
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._reserved.bind((_HOST, port))
        self._data = await _runner(self._gateway_routes())
        self._control = await _runner(self._control_routes())
        await web.TCPSite(self._control, _HOST, control_port).start()
        await self._listen()
        self._sweeper = asyncio.create_task(self._sweep())

    async def close(self):
        """Stop listening and break what is open."""
        self._sweeper.cancel()
        self._not_hanging.set()
        self._break_open()
        await self._data.cleanup()
        await self._control.cleanup()
        self._reserved.close()

    async def set_down(self, down):
        """Refuse connections, or accept them again."""
        if down and self._site is not None:
            await self._site.stop()
            self._site = None
            self._break_open()
        elif not down and self._site is None:
            await self._listen()

    def set_hang(self, hang):
        """Hold all calls, or let them go on."""
        if hang:
            self._not_hanging.clear()
        else:
            self._not_hanging.set()

    def set_delay(self, delay_ms):
        """Delay each call by so many milliseconds."""
        self._delay_ms = delay_ms

    def lose_answers(self, count):
        """Apply the next writes without answering them."""
        self._lose_answers = count

    def lapse_leases(self):
        """End all leases now."""
        self._notify(self._memory.lapse(everything=True))

    async def _listen(self):
        """Open the gateway's listener on its reserved port."""
        port = self._reserved.getsockname()[1]
        self._site = web.TCPSite(self._data, _HOST, port, reuse_port=True)
        await self._site.start()

    def _break_open(self):
        """Break the connections of the calls in progress and of idle clients."""
        for transport in list(self._open):
            transport.abort()
        self._open.clear()

    async def _sweep(self):
        """Lapse leases as time goes by."""
        while True:
            await asyncio.sleep(clock.seconds(_SWEEP_MS))
            self._notify(self._memory.lapse())

    def _notify(self, pairs):
        """Hand notices to the watches that cover them."""
        for pair in pairs:
            for watcher in self._watchers:
                if watcher.covers(pair.key):
                    watcher.notices.put_nowait(pair)

    def _gateway_routes(self):
        """List the published paths."""
        handlers = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keepalive,
            "/v3/lease/revoke": self._revoke,
        }
        routes = [
            web.post(path, self._call(path.rpartition("/")[2], handler))
            for path, handler in handlers.items()
        ]
        return [*routes, web.post("/v3/watch", self._watch)]

    def _control_routes(self):
        """List the control paths."""
        return [
            web.get("/control", self._show),
            web.post("/control", self._change),
        ]

    async def _arrive(self, request, kind):
        """Count a call and suffer the faults that come before its effect."""
        self._counts[kind] += 1
        self._open.add(request.transport)
        if self._delay_ms:
            await asyncio.sleep(clock.seconds(self._delay_ms))
        await self._not_hanging.wait()

    def _call(self, kind, handler):
        """Wrap a handler with counting and faults.

        Args:
          kind: A string, the kind that is counted.
          handler: A function from a request body to an answer, both dicts.

        Returns:
          A coroutine function for aiohttp.
        """

        async def handle(request):
            body = await request.json()
            transport = request.transport
            await self._arrive(request, kind)
            try:
                answer = handler(body)
            except _memory.TooLargeError:
                return _refuse("request is too large")
            except _memory.NoLeaseError:
                return _refuse("requested lease not found", 404)
            except (KeyError, ValueError) as error:
                return _refuse(str(error))
            if kind in _WRITES and self._lose_answers:
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
        """Stream the changes of a range until the client leaves."""
        created = (await request.json())["create_request"]
        await self._arrive(request, "watch")
        start = gateway.decode(created["key"])
        end = gateway.decode(created.get("range_end"))
        watcher = _memory.Watcher(start, end)
        first_revision = int(created.get("start_revision", 0))
        if first_revision:
            for pair in self._memory.history(start, end, first_revision):
                watcher.notices.put_nowait(pair)
        self._watchers.add(watcher)
        try:
            return await self._stream(request, watcher)
        finally:
            self._watchers.discard(watcher)

    async def _stream(self, request, watcher):
        """Write the notices of one watch as lines of JSON."""
        response = web.StreamResponse()
        await response.prepare(request)
        header = gateway.header(self._memory)
        await _write_line(response, {"result": {"header": header, "created": True}})
        while True:
            pair = await watcher.notices.get()
            await self._not_hanging.wait()
            await _write_line(response, gateway.event_message(self._memory, [pair]))

    async def _show(self, _request):
        """Answer the counts and the faults in force."""
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
        """Set the faults that the body names, then answer like `_show`."""
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
    """Answer an error as the gateway does."""
    return web.json_response({"error": message, "message": message}, status=status)


async def _write_line(response, message):
    """Write one JSON document as a line."""
    await response.write(json.dumps(message).encode() + b"\n")


async def _runner(routes):
    """Set up an application runner for some routes."""
    application = web.Application(client_max_size=_BODY_LIMIT_BYTES)
    application.add_routes(routes)
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=False,
        shutdown_timeout=clock.seconds(_SHUTDOWN_MS),
    )
    await runner.setup()
    return runner


async def start(port=0, control_port=0):
    """Start a stand-in in the running loop.

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
    """Run until the process is ended."""
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

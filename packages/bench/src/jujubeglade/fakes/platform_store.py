"""A stand-in for the platform's store, over its published HTTP protocol.

It has keys with revisions, leases, and a history for watches. Tests inject its faults:
it fails for all callers or for some, answers late or not at all, goes silent on open
connections, discards its history, ends leases or deletes keys.
"""

import asyncio
import base64
import json
import weakref

from aiohttp import web

#: Longer than any caller waits for an answer.
_NO_ANSWER_S = 3600.0
_MAX_HISTORY_EVENTS = 10_000
#: The size of the pieces in which bodies are sent slowly.
_PIECE_BYTES = 8192


class PlatformStore:
    """One store with its keys and its faults."""

    def __init__(self):
        """Create an empty store; `open` starts its listener."""
        self.revision = 1
        self.items = {}
        self.calls = 0
        #: How calls fail: "busy" (answers 503), "silent" (doesn't answer) or "reset"
        #: (breaks the connection); "" for no fault.
        self.fault = ""
        #: The ports on which calls fail; empty for all ports.
        self.faulty_ports = frozenset()
        self.delay_ms = 0
        #: The rate at which bodies are sent; 0 for at once.
        self.bytes_per_s = 0
        #: Every n-th change is applied and not answered; 0 for none.
        self.lose_every = 0
        #: The delay before such a change, whose condition must hold then; 0 for none.
        self.late_ms = 0
        # The open connections, and those of them that get no answers.
        self._open = weakref.WeakSet()
        self._silent = weakref.WeakSet()
        self._change_count = 0
        self._history = []
        self._history_start = 0
        self._leases = {}
        self._next_lease = 100
        self._change_event = asyncio.Event()
        self._runner = None

    async def open(self, ports):
        """Listen on loopback.

        Args:
          ports: A list of integers; a fault can be limited to the callers of some.
        """
        app = web.Application(middlewares=[self._apply_faults])
        routes = app.router
        routes.add_get("/jujubeglade/kv-key", self._get)
        routes.add_get("/jujubeglade/kv-range", self._range)
        routes.add_get("/jujubeglade/kv-watch", self._watch)
        routes.add_post("/jujubeglade/kv-txn", self._change)
        routes.add_post("/jujubeglade/kv-lease", self._grant)
        routes.add_post("/jujubeglade/kv-keep/{id}", self._keep_alive)
        routes.add_delete("/jujubeglade/kv-lease-end/{id}", self._end_lease)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self._runner.setup()
        for port in ports:
            await web.TCPSite(self._runner, "127.0.0.1", port).start()

    async def close(self):
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, key, fields):
        """Write a key as the operator does.

        Args:
          key: A string.
          fields: What is written as JSON.
        """
        self.put_bytes(key, json.dumps(fields).encode())

    def put_bytes(self, key, data):
        """Write any bytes to a key, as a foreign writer may do.

        Args:
          key: A string.
          data: Bytes.
        """
        self._write(key, data, 0)

    def silence_open(self):
        """Stop answering on the connections that are open now."""
        self._silent.update(self._open)

    def remove(self, key):
        """Delete a key, as the operator or the end of a lease does."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "deleted": True})

    def forget_history(self):
        """Discard all events; watches from a revision before now get a 410."""
        self._history.clear()
        self._history_start = self.revision

    def keys(self, prefix):
        """List the keys under a prefix."""
        return sorted(key for key in self.items if key.startswith(prefix))

    def lapse(self, prefix):
        """End the leases of the keys under a prefix."""
        for key in self.keys(prefix):
            self._leases.pop(self.items[key]["lease"], None)
            self.remove(key)

    @web.middleware
    async def _apply_faults(self, request, handler):
        self.calls += 1
        self._open.add(request.transport)
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        if self.fault and self._is_faulty(request):
            return await self._fail(request)
        response = await handler(request)
        if request.transport in self._silent:
            await asyncio.sleep(_NO_ANSWER_S)
        if self.bytes_per_s:
            return await self._send_slowly(request, response)
        return response

    async def _send_slowly(self, request, response):
        """Send a body in pieces, as over a connection of little bandwidth."""
        slow = web.StreamResponse(status=response.status)
        slow.content_length = len(response.body)
        await slow.prepare(request)
        for start in range(0, len(response.body), _PIECE_BYTES):
            piece = response.body[start : start + _PIECE_BYTES]
            await slow.write(piece)
            await asyncio.sleep(len(piece) / self.bytes_per_s)
        await slow.write_eof()
        return slow

    def _is_faulty(self, request):
        return not self.faulty_ports or _port(request) in self.faulty_ports

    async def _fail(self, request):
        if self.fault == "silent":
            await asyncio.sleep(_NO_ANSWER_S)
        if self.fault == "reset" and request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _get(self, request):
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({"at": self.revision}, status=404)
        return web.json_response(item | {"at": self.revision})

    async def _range(self, request):
        keys = self.keys(request.query["prefix"])
        after = request.query.get("after", "")
        items = [self.items[key] for key in keys if key > after]
        body = {"items": items, "hasMore": False, "at": self.revision}
        return web.json_response(body)

    async def _watch(self, request):
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        if after < self._history_start:
            return web.json_response({}, status=410)
        try:
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                while not self._events(prefix, after):
                    await self._change_event.wait()
        except TimeoutError:
            pass
        if self.fault and self._is_faulty(request):
            return await self._fail(request)
        body = {"events": self._events(prefix, after), "at": self.revision}
        return web.json_response(body)

    def _events(self, prefix, after):
        return [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    async def _change(self, request):
        body = await request.json()
        self._change_count += 1
        if self.lose_every and self._change_count % self.lose_every == 0:
            await asyncio.sleep(self.late_ms / 1000)
            self._apply(body)
            await asyncio.sleep(_NO_ANSWER_S)
        return self._apply(body)

    def _apply(self, body):
        """Apply a change if its condition holds."""
        for row in body["expect"]:
            item = self.items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return web.json_response({"items": [item]}, status=412)
        for row in body["setKeys"]:
            lease = row.get("lease", 0)
            if lease and lease not in self._leases:
                return web.json_response({}, status=404)
            self._write(row["key"], base64.b64decode(row["value"]), lease)
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _grant(self, request):
        ttl_ms = (await request.json())["ttlMs"]
        self._next_lease += 1
        self._leases[self._next_lease] = ttl_ms
        return web.json_response({"lease": self._next_lease, "ttlMs": ttl_ms})

    async def _keep_alive(self, request):
        ttl_ms = self._leases.get(int(request.match_info["id"]))
        if ttl_ms is None:
            return web.json_response({}, status=404)
        return web.json_response({"ttlMs": ttl_ms})

    async def _end_lease(self, request):
        self._leases.pop(int(request.match_info["id"]), None)
        return web.json_response({})

    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._publish(item)

    def _publish(self, event):
        self._history.append(event)
        del self._history[:-_MAX_HISTORY_EVENTS]
        self._change_event.set()
        # Each waiting watch checks for events under its prefix, then waits on this.
        self._change_event = asyncio.Event()


def _port(request):
    """Return the port that received a call; 0 when its connection is closed."""
    if request.transport is None:
        return 0
    return request.transport.get_extra_info("sockname")[1]

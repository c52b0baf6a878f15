"""A stand-in for the platform's store, over its published protocol.

It keeps keys with revisions, leases and a history for watches, and misbehaves on
request: down for all or for some callers, slow, with answers lost, with silent open
connections, with its history forgotten, with leases that lapse or keys that vanish.
"""

import asyncio
import base64
import json
import weakref

from aiohttp import web

_LONG_S = 3600.0
_HISTORY = 10_000


class PlatformStore:
    """The keys of one store and its faults."""

    def __init__(self):
        """Begin empty; `open` listens."""
        self.revision = 1
        self.items = {}
        self.calls = 0
        #: How the store fails: "", "busy", "silent" or "reset".
        self.fault = ""
        #: The ports on which calls meet the fault; empty for all.
        self.faulty_ports = frozenset()
        self.delay_ms = 0
        #: The share of changes that are made and not answered, as every n-th; 0: none.
        self.lose_every = 0
        #: How late such a change is made, if its condition still holds; 0: at once.
        self.late_ms = 0
        # Connections that are open, and those that went silent.
        self._open = weakref.WeakSet()
        self._silent = weakref.WeakSet()
        self._changes = 0
        self._history = []
        self._oldest = 0
        self._leases = {}
        self._next_lease = 100
        self._news = asyncio.Event()
        self._runner = None

    async def open(self, ports):
        """Listen on loopback; callers on different ports can be told apart.

        Args:
          ports: A list of integers.
        """
        app = web.Application(middlewares=[self._meet_fault])
        routes = app.router
        routes.add_get("/jujubeglade/kv-key", self._key)
        routes.add_get("/jujubeglade/kv-range", self._range)
        routes.add_get("/jujubeglade/kv-watch", self._watch)
        routes.add_post("/jujubeglade/kv-txn", self._change)
        routes.add_post("/jujubeglade/kv-lease", self._grant)
        routes.add_post("/jujubeglade/kv-keep/{id}", self._keep)
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
        """Write a key as a writer that the system does not know.

        Args:
          key: A string.
          data: Bytes.
        """
        self._write(key, data, 0)

    def silence_open(self):
        """Never answer on the connections that are open now."""
        self._silent.update(self._open)

    def remove(self, key):
        """Delete a key as the operator does, or as a lease that ends."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def forget_history(self):
        """Answer watches of what has happened so far with 410."""
        self._history.clear()
        self._oldest = self.revision

    def keys(self, prefix):
        """List the keys under a prefix."""
        return sorted(key for key in self.items if key.startswith(prefix))

    def lapse(self, prefix):
        """End the leases of the keys under a prefix."""
        for key in self.keys(prefix):
            self._leases.pop(self.items[key]["lease"], None)
            self.remove(key)

    @web.middleware
    async def _meet_fault(self, request, handler):
        self.calls += 1
        self._open.add(request.transport)
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        if self.fault and self._is_faulty(request):
            return await self._fail(request)
        response = await handler(request)
        if request.transport in self._silent:
            await asyncio.sleep(_LONG_S)
        return response

    def _is_faulty(self, request):
        return not self.faulty_ports or _port(request) in self.faulty_ports

    async def _fail(self, request):
        if self.fault == "silent":
            await asyncio.sleep(_LONG_S)
        if self.fault == "reset" and request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    async def _key(self, request):
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
        if after < self._oldest:
            return web.json_response({}, status=410)
        try:
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                while not self._events(prefix, after):
                    await self._news.wait()
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
        self._changes += 1
        if self.lose_every and self._changes % self.lose_every == 0:
            await asyncio.sleep(self.late_ms / 1000)
            self._apply(body)
            await asyncio.sleep(_LONG_S)
        return self._apply(body)

    def _apply(self, body):
        """Make a change if its condition holds."""
        for row in body["expect"]:
            held = self.items.get(row["key"], {"revision": 0})
            if held["revision"] != row["revision"]:
                return web.json_response({"items": [held]}, status=412)
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

    async def _keep(self, request):
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
        self._note(item)

    def _note(self, event):
        self._history.append(event)
        del self._history[:-_HISTORY]
        self._news.set()
        # Every waiting watch looks for its own prefix, then waits for the next event.
        self._news = asyncio.Event()


def _port(request):
    """Return the port that a call came to; 0 when its connection is gone."""
    if request.transport is None:
        return 0
    return request.transport.get_extra_info("sockname")[1]

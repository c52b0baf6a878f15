"""The HTTP interface by which upstreams announce themselves to their agent."""

import json
import secrets

from aiohttp import web

from jujubeglade.agent import upstream as upstreams
from jujubeglade.core import fields as fields_
from jujubeglade.core import http_body

_LEASE_ID_BYTES = 8


def application(agent):
    """Create the web application of the interface.

    Args:
      agent: The Agent.

    Returns:
      An aiohttp.web.Application.
    """
    app = web.Application()
    handlers = _Handlers(agent)
    app.router.add_post("/v1/announce", handlers.announce)
    app.router.add_post("/v1/renew", handlers.renew)
    app.router.add_post("/v1/leave", handlers.leave)
    return app


class _Handlers:
    """The request handlers of one agent."""

    def __init__(self, agent):
        self._agent = agent

    async def announce(self, request):
        """Add an upstream."""
        parsed = upstreams.parse_announcement(await self._body(request))
        if parsed.is_err():
            return _error(400, str(parsed.err_value))
        lease = secrets.token_hex(_LEASE_ID_BYTES)
        now_ms = self._agent.clock.now_ms()
        upstream = upstreams.open_upstream(
            lease, parsed.ok_value, now_ms, lambda: self._agent.limits.result_bytes
        )
        self._agent.executor.add_upstream(upstream)
        self._agent.on_upstreams_changed()
        renew_ms = upstream.announcement.lease_ms // 3
        return web.json_response({"lease": lease, "renew_ms": renew_ms})

    async def renew(self, request):
        """Extend an upstream's lease."""
        fields = await self._body(request)
        upstream = self._find(fields)
        if upstream is None:
            return _error(404, "the lease is not known; announce again")
        running = fields.get("running", 0)
        if not fields_.is_whole(running) or running < 0:
            return _error(400, "running is not a count; give 0 or more")
        upstream.renew(self._agent.clock.now_ms(), running)
        return web.json_response({"lease": upstream.lease})

    async def leave(self, request):
        """Give no more tasks to an upstream; running tasks are not cancelled."""
        upstream = self._find(await self._body(request))
        if upstream is None:
            return _error(404, "the lease is not known; nothing is sent to it")
        upstream.leaving = True
        self._agent.executor.pump()
        self._agent.on_upstreams_changed()
        return web.json_response({"lease": upstream.lease, "running": upstream.running})

    async def _body(self, request):
        data = await http_body.read(request, self._agent.limits.max_body_bytes)
        try:
            return json.loads(data)
        except (ValueError, RecursionError):
            return None

    def _find(self, fields):
        lease = fields.get("lease") if isinstance(fields, dict) else None
        upstream = self._agent.executor.upstream(lease)
        if upstream is None or not upstream.is_live(self._agent.clock.now_ms()):
            return None
        return upstream


def _error(status, message):
    return web.json_response({"error": message}, status=status)

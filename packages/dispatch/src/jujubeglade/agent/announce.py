"""The HTTP interface by which upstreams announce themselves to their agent."""

import secrets

from aiohttp import web

from jujubeglade.agent import upstream

_LEASE_BYTES = 8


def application(agent):
    """Make the interface's application.

    Args:
      agent: The Agent.

    Returns:
      An aiohttp.web.Application.
    """
    app = web.Application(client_max_size=agent.settings.limits.max_body_bytes)
    desk = _Handlers(agent)
    app.router.add_post("/v1/announce", desk.announce)
    app.router.add_post("/v1/renew", desk.renew)
    app.router.add_post("/v1/leave", desk.leave)
    return app


class _Handlers:
    """The handlers, around the agent they serve."""

    def __init__(self, agent):
        self._agent = agent

    async def announce(self, request):
        """Take an upstream into service."""
        parsed = upstream.parse_announcement(await _body(request))
        if parsed.is_err():
            return _error(400, str(parsed.err_value))
        lease = secrets.token_hex(_LEASE_BYTES)
        now_ms = self._agent.clock.now_ms()
        announced = upstream.open_upstream(
            lease, parsed.ok_value, now_ms, lambda: self._agent.limits.result_bytes
        )
        self._agent.executor.add_upstream(announced)
        self._agent.on_upstreams_changed()
        renew_ms = announced.announcement.lease_ms // 3
        return web.json_response({"lease": lease, "renew_ms": renew_ms})

    async def renew(self, request):
        """Extend an upstream's lease."""
        fields = await _body(request)
        known = self._find(fields)
        if known is None:
            return _error(404, "the lease is not known; announce again")
        running = fields.get("running", 0)
        if type(running) is not int or running < 0:
            return _error(400, "running is not a count; give 0 or more")
        known.renew(self._agent.clock.now_ms(), running)
        return web.json_response({"lease": known.lease})

    async def leave(self, request):
        """Stop giving work to an upstream; what runs is not cut."""
        known = self._find(await _body(request))
        if known is None:
            return _error(404, "the lease is not known; nothing is sent to it")
        known.leaving = True
        self._agent.executor.pump()
        self._agent.on_upstreams_changed()
        return web.json_response({"lease": known.lease, "running": known.running})

    def _find(self, fields):
        lease = fields.get("lease") if isinstance(fields, dict) else None
        known = self._agent.executor.upstream(lease)
        if known is None or not known.is_live(self._agent.clock.now_ms()):
            return None
        return known


async def _body(request):
    try:
        return await request.json()
    except ValueError:
        return None


def _error(status, message):
    return web.json_response({"error": message}, status=status)

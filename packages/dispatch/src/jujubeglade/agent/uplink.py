"""Uplinks: the streams from an agent to the entries.

One task for each entry dials it, sends heartbeats, applies the configuration and
the permits that come back, and serves what the entry asks of the home.
"""

import asyncio

from jujubeglade.core import audit, clock, link, member, problem, routing

_REDIAL_MS = 300


class Uplink:
    """The stream to one entry."""

    __slots__ = ("_address", "_agent", "_granted", "_link", "_serve", "sent_ms")

    def __init__(self, agent, address):
        """Start without a link.

        Args:
          agent: The Agent.
          address: A pair of a host and a port.
        """
        self._agent = agent
        self._address = address
        self._link = None
        self._granted = None
        self.sent_ms = 0.0
        self._serve = {
            routing.Submit: agent.home.submit,
            routing.Query: agent.home.query,
            routing.Cancel: agent.home.cancel,
            routing.CancelTenant: agent.home.cancel_tenant,
            routing.Throttle: agent.home.throttle,
            routing.ListJobs: agent.home.list_jobs,
            audit.Ask: agent.find_records,
        }

    @property
    def link(self):
        """Return the open link, or None."""
        return self._link

    async def run(self):
        """Dial the entry and serve it, again and again."""
        agent = self._agent
        while True:
            dialed = await link.dial(
                self._address, agent.cluster_key, agent.identity, self
            )
            if dialed.is_ok():
                await self._serve_link(dialed.ok_value)
            await asyncio.sleep(clock.seconds(_REDIAL_MS))

    def heartbeat(self, period_ms, courier=None):
        """Send a heartbeat.

        Args:
          period_ms: An integer, when the next one is to be expected.
          courier: A Courier whose records it carries, or None.

        Returns:
          A future of a boolean, whether a permit was granted in answer; None when
          there is no link.
        """
        if self._link is None:
            return None
        agent = self._agent
        self.sent_ms = agent.clock.now_ms()
        self._link.send(
            member.Heartbeat(
                self.sent_ms,
                period_ms,
                agent.member(),
                agent.executor.load(),
                agent.executor.leaving,
                agent.permits.revision,
                courier.batch(self._link) if courier else b"",
            )
        )
        self._granted = asyncio.get_running_loop().create_future()
        return self._granted

    def on_message(self, opened, body):
        """Apply what the entry sends.

        Args:
          opened: The Link.
          body: A Permit or a Configuration.
        """
        if isinstance(body, member.Permit):
            self._take_permit(body)
        elif isinstance(body, member.Configuration):
            self._apply(body)

    async def on_request(self, opened, body):
        """Serve what the entry asks.

        Args:
          opened: The Link.
          body: A routing message.

        Returns:
          The answer's body, or a Problem.
        """
        serve = self._serve.get(type(body))
        if serve is None:
            return problem.Problem(
                problem.Kind.FRAME, "unknown question", "run the same version"
            )
        return await serve(body)

    def _apply(self, configuration):
        if self._agent.permits.apply(configuration):
            self._agent.on_configuration()
            # The entry learns of the revision at once, and grants under it.
            self._agent.beats.announce()

    def _take_permit(self, permit):
        agent = self._agent
        agent.permits.grant(permit)
        agent.courier.on_stored(permit.stored_sequence)
        agent.on_permit()
        if self._granted is not None and not self._granted.done():
            self._granted.set_result(permit.remaining_ms > 0)

    async def _serve_link(self, opened):
        self._link = opened
        self._agent.beats.announce()
        try:
            await opened.run()
        finally:
            self._link = None

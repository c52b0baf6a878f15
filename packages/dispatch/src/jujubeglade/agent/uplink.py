"""Uplinks: the streams from an agent to the entries.

An asyncio task for each entry dials it, applies the configurations and permits that
it sends, and serves its requests to the home.
"""

import asyncio

from jujubeglade.core import audit, clock, link, member, problem, routing

_REDIAL_MS = 300


class Uplink:
    """The stream to one entry."""

    __slots__ = (
        "_address",
        "_agent",
        "_handlers",
        "_link",
        "_permit_answer",
        "sent_ms",
    )

    def __init__(self, agent, address):
        """Create an uplink without a link.

        Args:
          agent: The Agent.
          address: A pair of a host and a port.
        """
        self._agent = agent
        self._address = address
        self._link = None
        self._permit_answer = None
        self.sent_ms = 0.0
        self._handlers = {
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
        """Dial the entry and serve the link, until cancelled."""
        agent = self._agent
        while True:
            dialed = await link.dial(
                self._address, agent.cluster_key, agent.identity, self
            )
            if dialed.is_ok():
                await self._serve_link(dialed.ok_value)
            await asyncio.sleep(clock.seconds(_REDIAL_MS))

    def heartbeat(self, period_ms, record_sender=None):
        """Send a heartbeat.

        Args:
          period_ms: An integer, the time until the next heartbeat.
          record_sender: A RecordSender whose records it carries, or None.

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
                record_sender.next_batch(self._link) if record_sender else b"",
            )
        )
        self._permit_answer = asyncio.get_running_loop().create_future()
        return self._permit_answer

    def on_message(self, entry_link, body):
        """Apply a one-way message of the entry.

        Args:
          entry_link: The Link.
          body: A Permit or a Configuration.
        """
        if isinstance(body, member.Permit):
            self._apply_permit(body)
        elif isinstance(body, member.Configuration):
            self._apply_configuration(body)

    async def on_request(self, entry_link, body):
        """Serve a request of the entry.

        Args:
          entry_link: The Link.
          body: A routing message.

        Returns:
          The answer's body, or a Problem.
        """
        handler = self._handlers.get(type(body))
        if handler is None:
            return problem.Problem(
                problem.Kind.FRAME,
                "an agent does not serve requests of this type",
                "run the same version of jujubeglade everywhere",
            )
        return await handler(body)

    def _apply_configuration(self, configuration):
        if self._agent.permits.apply(configuration):
            self._agent.on_configuration()
            # A heartbeat reports the revision at once, so that permits apply to it.
            self._agent.heartbeats.announce()

    def _apply_permit(self, permit):
        agent = self._agent
        agent.permits.grant(permit)
        agent.record_sender.on_stored(permit.stored_sequence)
        agent.on_permit()
        if self._permit_answer is not None and not self._permit_answer.done():
            self._permit_answer.set_result(permit.remaining_ms > 0)

    async def _serve_link(self, entry_link):
        self._link = entry_link
        self._agent.heartbeats.announce()
        try:
            await entry_link.run()
        finally:
            self._link = None

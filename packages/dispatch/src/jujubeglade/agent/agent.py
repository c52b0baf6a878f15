"""The agent: a process beside an upstream, home of jobs and executor of tasks."""

import asyncio
import contextlib

from jujubeglade.agent import (
    announce,
    executor,
    heartbeats,
    home,
    permit,
    record_sender,
    status,
    uplink,
)
from jujubeglade.core import (
    audit,
    contract,
    inbound,
    journal,
    link,
    log,
    member,
    metrics_page,
    problem,
    ticket,
)
from jujubeglade.core import clock as clock_
from jujubeglade.core import settings as settings_

_TICK_MS = 1000
_RECORD_FLUSH_WAIT_MS = 100

_log = log.get(__name__)


class Agent:
    """One agent process and its parts."""

    def __init__(self, settings, clock):
        """Create the parts; `start` runs them.

        Args:
          settings: The Settings of the agent.
          clock: A Clock.
        """
        self.settings = settings
        self.limits = settings.limits
        self.clock = clock
        self.cluster_key = settings.cluster_key.encode("utf-8")
        incarnation = ticket.new_incarnation()
        self.identity = link.Identity(
            "agent", settings.name, incarnation, settings.zone
        )
        self.journal = journal.open_journal(
            settings.name,
            incarnation,
            clock,
            settings.limits.audit_records,
            self.cluster_key,
        )
        self.permits = permit.Permits(clock, self.identity)
        self.executor = executor.Executor(
            self.identity, clock, self.journal, self.permits, settings.limits
        )
        self.home = home.Home(self, self.executor)
        self.record_sender = record_sender.RecordSender(self.journal, clock)
        self._uplinks = [
            uplink.Uplink(self, (entry.host, entry.port)) for entry in settings.entries
        ]
        self.heartbeats = heartbeats.Heartbeats(self, self._uplinks)
        # The latest link from each other agent, by its incarnation.
        self._links = {}
        self._tasks = set()
        self._server = None
        self._announcements = None
        self._status = status.Status(self)
        self._inbound = inbound.new_inbound(
            settings.inbound, self._status.metrics, settings.limits.max_body_bytes
        )
        self._status_listeners = []
        self._logged_refusal = contract.RejectReason.NO_PERMIT
        self._stream_port = settings.stream.port
        self._announce_port = settings.announce.port

    @property
    def announce_port(self):
        """Return the port for announcements of upstreams, once started."""
        return self._announce_port

    @property
    def http_port(self):
        """Return the port of the status pages, once started."""
        return self._status_listeners[0].port

    def refusal(self):
        """Return why no task may start here.

        Returns:
          A RejectReason, or None when tasks may start.
        """
        if self.executor.leaving:
            return contract.RejectReason.LEAVING
        return self.permits.refusal()

    def member(self):
        """Describe this agent to the entries.

        Returns:
          A Member.
        """
        load = self.executor.load()
        stream = self.settings.stream
        advertised = self.settings.advertise
        return member.Member(
            self.identity.incarnation,
            self.identity.name,
            advertised.host if advertised else stream.host,
            advertised.port if advertised else self._stream_port,
            self.identity.zone,
            self.settings.rack,
            self.executor.services,
            load.slots,
        )

    async def start(self):
        """Open the ports and start the asyncio tasks."""
        stream = self.settings.stream
        self._server = await link.serve(
            (stream.host, stream.port),
            self.cluster_key,
            self.identity,
            self,
            self.settings.limits.max_connections,
            self._inbound,
        )
        self._stream_port = self._server.port
        options = inbound.ListenerOptions(is_internal=True)
        self._announcements = self._inbound.new_listener(
            "announce", announce.application(self), options
        )
        address = self.settings.announce
        await self._announcements.open(address.host, address.port)
        self._announce_port = self._announcements.port
        await self._serve_status()
        for entry_uplink in self._uplinks:
            self._spawn(entry_uplink.run())
        self._spawn(self.heartbeats.run())
        self._spawn(self._tick())

    async def stop(self):
        """Finish the running requests, up to the drain grace time, and close."""
        load = self.executor.load()
        _log.info("leaving", running=load.running, queued=load.queued)
        self.executor.leaving = True
        self.home.leaving = True
        self.on_upstreams_changed()
        grace = clock_.seconds(self.limits.drain_grace_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace):
                while not (self.executor.is_idle and self.home.is_idle):
                    await asyncio.sleep(clock_.seconds(20))
        self.executor.flush_records()
        self.journal.close()
        self.heartbeats.flush()
        await asyncio.sleep(clock_.seconds(_RECORD_FLUSH_WAIT_MS))
        await self.close()

    async def close(self):
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.home.close()
        for entry_uplink in self._uplinks:
            if entry_uplink.link is not None:
                entry_uplink.link.close()
        await self._server.close()
        await self._announcements.close()
        for listener in self._status_listeners:
            await listener.close()
        await self.executor.close_upstreams()

    def on_link(self, peer_link):
        """Replace the previous link of another agent by a new one.

        The other agent has closed the previous link, even if this side hasn't noticed
        yet; answers must not be sent there.

        Args:
          peer_link: The new Link.
        """
        previous = self._links.get(peer_link.remote.incarnation)
        self._links[peer_link.remote.incarnation] = peer_link
        if previous is not None:
            previous.close()
        else:
            self._spawn(self._remove_closed_link(peer_link.remote.incarnation))

    async def _remove_closed_link(self, incarnation):
        while self._links[incarnation].is_open:
            await self._links[incarnation].wait_closed()
        del self._links[incarnation]

    def on_message(self, peer_link, body):
        """Handle a one-way message of another home.

        Args:
          peer_link: The Link.
          body: A message of `contract`.
        """
        self.executor.on_message(peer_link, body)

    async def on_request(self, peer_link, body):
        """Serve a request of another home.

        Args:
          peer_link: The Link.
          body: A Claim or a Close.

        Returns:
          A Claimed, or a Problem.
        """
        incarnation = getattr(body, "incarnation", None)
        if incarnation != self.identity.incarnation:
            return problem.Problem(
                problem.Kind.FRAME,
                "the request is for another incarnation of this agent",
                "treat attempts that the other incarnation may have started as unknown",
                outcome=problem.Outcome.UNKNOWN,
            )
        if isinstance(body, contract.Claim):
            return self.executor.claim(peer_link, body)
        return self.executor.close(peer_link, body)

    async def find_records(self, request):
        """Return the audit records that may not be stored yet.

        Args:
          request: An audit.Ask.

        Returns:
          An audit.Batch.
        """
        self.executor.flush_records()
        return audit.answer(request, self.journal)

    def on_permit(self):
        """Start tasks that waited for a permit."""
        self.executor.pump()

    def on_configuration(self):
        """Apply a new configuration."""
        _log.info("configuration applied", revision=self.permits.revision)
        # Attempts started under the previous revision are recorded before the new one.
        self.executor.flush_records()
        self.journal.record(
            journal.Kind.CONFIGURATION, "configuration", revision=self.permits.revision
        )
        configured_limits = self.permits.document.get("limits", {})
        self.limits = settings_.limits_in_force(self.settings.limits, configured_limits)
        self.executor.use_limits(self.limits)
        self.executor.use_rules(self.permits.document.get("rules", {}))
        self.home.use_limits(self.limits)
        self.executor.pump()
        self.home.on_configuration()

    def on_upstreams_changed(self):
        """Report the services and slots of this agent to the entries at once."""
        self.heartbeats.announce()

    async def _serve_status(self):
        """Open the port of the status pages and the one of the metrics."""
        app = self._status.application(self._inbound)
        await self._serve_page("http", app, self.settings.http)
        if self.settings.metrics is not None:
            app = self._status.metrics_application(self._inbound)
            await self._serve_page("metrics", app, self.settings.metrics)

    async def _serve_page(self, name, app, address):
        listener = await metrics_page.serve(app, address, self._inbound, name)
        self._status_listeners.append(listener)

    def _log_refusal(self):
        """Log once when tasks may not start here, and once when they may again."""
        refusal = self.refusal()
        if refusal == self._logged_refusal:
            return
        self._logged_refusal = refusal
        if refusal is None:
            _log.info("starts permitted", revision=self.permits.revision)
        elif refusal == contract.RejectReason.NO_PERMIT:
            _log.error("no permit to start tasks", revision=self.permits.revision)
        else:
            _log.info("no task may start", reason=str(refusal))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick(self):
        while True:
            await asyncio.sleep(clock_.seconds(_TICK_MS))
            wall_ms = self.clock.wall_ms()
            self._log_refusal()
            self.executor.tick(wall_ms)
            self.home.tick(wall_ms)


def new_agent(settings):
    """Create an agent.

    Args:
      settings: The Settings of the agent.

    Returns:
      An Agent; start it with `start`.
    """
    return Agent(settings, clock_.system_clock())

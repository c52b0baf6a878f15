"""The agent: one process beside an upstream, home of jobs and executor of tasks."""

import asyncio
import contextlib

from aiohttp import web

from jujubeglade.agent import (
    announce,
    beat,
    courier,
    executor,
    home,
    permit,
    status,
    uplink,
)
from jujubeglade.core import (
    audit,
    clock,
    contract,
    journal,
    link,
    log,
    member,
    metrics_page,
    problem,
    ticket,
)
from jujubeglade.core import settings as settings_

_TICK_MS = 1000
_LAST_RECORDS_MS = 100

_log = log.get(__name__)


class Agent:
    """One agent process and its parts."""

    def __init__(self, settings, wall):
        """Build the parts; nothing runs yet.

        Args:
          settings: The Settings of the agent.
          wall: A Clock.
        """
        self.settings = settings
        self.limits = settings.limits
        self.clock = wall
        self.cluster_key = settings.cluster_key.encode("utf-8")
        incarnation = ticket.new_incarnation()
        self.identity = link.Identity(
            "agent", settings.name, incarnation, settings.zone
        )
        self.journal = journal.open_journal(
            settings.name,
            incarnation,
            wall,
            settings.limits.audit_records,
            self.cluster_key,
        )
        self.permits = permit.Permits(wall, self.identity)
        self.executor = executor.Executor(
            self.identity, wall, self.journal, self.permits, settings.limits
        )
        self.home = home.Home(self, self.executor)
        self.courier = courier.Courier(self.journal, wall)
        self._uplinks = [
            uplink.Uplink(self, (entry.host, entry.port)) for entry in settings.entries
        ]
        self.beats = beat.Beats(self, self._uplinks)
        # The link that each other agent opened last, by its incarnation.
        self._links = {}
        self._tasks = set()
        self._server = None
        self._runner = None
        self._status = status.Status(self)
        self._status_runners = []
        self._refused = contract.Reject.NO_PERMIT
        self._stream_port = settings.stream.port
        self._announce_port = settings.announce.port

    @property
    def announce_port(self):
        """Return the port of the announcements, once started."""
        return self._announce_port

    @property
    def http_port(self):
        """Return the port of the pages of `status`, once started."""
        return self._status_runners[0].addresses[0][1]

    def refusal(self):
        """Tell why no task may start here.

        Returns:
          A Reject, or None when tasks may start.
        """
        if self.executor.leaving:
            return contract.Reject.LEAVING
        return self.permits.refusal()

    def member(self):
        """Describe this agent to the entries.

        Returns:
          A Member.
        """
        load = self.executor.load()
        stream = self.settings.stream
        reached = self.settings.advertise
        return member.Member(
            self.identity.incarnation,
            self.identity.name,
            reached.host if reached else stream.host,
            reached.port if reached else self._stream_port,
            self.identity.zone,
            self.settings.rack,
            self.executor.services,
            load.slots,
        )

    async def start(self):
        """Open the ports and start the tasks."""
        stream = self.settings.stream
        self._server = await link.serve(
            (stream.host, stream.port),
            self.cluster_key,
            self.identity,
            self,
            self.settings.limits.max_connections,
        )
        self._stream_port = self._server.port
        self._runner = web.AppRunner(announce.application(self), access_log=None)
        await self._runner.setup()
        desk = self.settings.announce
        await web.TCPSite(self._runner, desk.host, desk.port).start()
        self._announce_port = self._runner.addresses[0][1]
        await self._serve_status()
        for each in self._uplinks:
            self._spawn(each.run())
        self._spawn(self.beats.run())
        self._spawn(self._tick())

    async def stop(self):
        """Leave gracefully: cut no request, then close everything."""
        load = self.executor.load()
        _log.info("leaving", running=load.running, queued=load.queued)
        self.executor.leaving = True
        self.home.leaving = True
        self.on_upstreams_changed()
        grace = clock.seconds(self.limits.drain_grace_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace):
                while not (self.executor.is_idle and self.home.is_idle):
                    await asyncio.sleep(clock.seconds(20))
        self.executor.flush_records()
        self.journal.close()
        self.beats.flush()
        await asyncio.sleep(clock.seconds(_LAST_RECORDS_MS))
        await self.close()

    async def close(self):
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.home.close()
        for each in self._uplinks:
            if each.link is not None:
                each.link.close()
        await self._server.close()
        await self._runner.cleanup()
        for each in self._status_runners:
            await each.cleanup()
        await self.executor.close_upstreams()

    def on_link(self, opened):
        """Let a new link of another agent replace the one it had.

        The other agent has given the former link up, though this side may not have
        heard so; answers must not go there.

        Args:
          opened: The Link.
        """
        former = self._links.get(opened.remote.incarnation)
        self._links[opened.remote.incarnation] = opened
        if former is not None:
            former.close()
        else:
            self._spawn(self._forget_link(opened.remote.incarnation))

    async def _forget_link(self, incarnation):
        while self._links[incarnation].is_open:
            await self._links[incarnation].wait_closed()
        del self._links[incarnation]

    def on_message(self, opened, body):
        """Take a one-way message of another home.

        Args:
          opened: The Link.
          body: A message of `contract`.
        """
        self.executor.on_message(opened, body)

    async def on_request(self, opened, body):
        """Serve a question of another home.

        Args:
          opened: The Link.
          body: A Claim or a Close.

        Returns:
          A Claimed, or a Problem.
        """
        named = getattr(body, "incarnation", None)
        if named != self.identity.incarnation:
            return problem.Problem(
                problem.Kind.FRAME,
                "the question is for another life of this agent",
                "treat what that life may have started as unknown",
                outcome=problem.Outcome.UNKNOWN,
            )
        if isinstance(body, contract.Claim):
            return self.executor.claim(opened, body)
        return self.executor.close(opened, body)

    async def find_records(self, asked):
        """Give an entry the records that may not be stored yet.

        Args:
          asked: An audit.Ask.

        Returns:
          An audit.Batch.
        """
        self.executor.flush_records()
        return audit.answer(asked, self.journal)

    def on_permit(self):
        """Start what waited for a permit."""
        self.executor.pump()

    def on_configuration(self):
        """Go on under a new configuration."""
        _log.info("configuration applied", revision=self.permits.revision)
        # What started under the former revision is recorded before the new one.
        self.executor.flush_records()
        self.journal.record(
            journal.Kind.CONFIGURATION, "configuration", revision=self.permits.revision
        )
        chosen = self.permits.document.get("limits", {})
        self.limits = settings_.limits_in_force(self.settings.limits, chosen)
        self.executor.use_limits(self.limits)
        self.executor.use_rules(self.permits.document.get("rules", {}))
        self.home.use_limits(self.limits)
        self.executor.pump()
        self.home.on_configuration()

    def on_upstreams_changed(self):
        """Tell the entries at once what can be run here."""
        self.beats.announce()

    async def _serve_status(self):
        """Open the pages for operators and for readers of the metrics."""
        app = self._status.application()
        http = await metrics_page.serve(app, self.settings.http)
        self._status_runners.append(http)
        if self.settings.metrics is not None:
            app = self._status.metrics_application()
            page = await metrics_page.serve(app, self.settings.metrics)
            self._status_runners.append(page)

    def _log_refusal(self):
        """Log once when no task may start here, and once when tasks may again."""
        refused = self.refusal()
        if refused == self._refused:
            return
        self._refused = refused
        if refused is None:
            _log.info("starts permitted", revision=self.permits.revision)
        elif refused == contract.Reject.NO_PERMIT:
            _log.error("no permit to start tasks", revision=self.permits.revision)
        else:
            _log.info("no task may start", reason=str(refused))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick(self):
        while True:
            await asyncio.sleep(clock.seconds(_TICK_MS))
            wall_ms = self.clock.wall_ms()
            self._log_refusal()
            self.executor.tick(wall_ms)
            self.home.tick(wall_ms)


def new_agent(settings):
    """Make an agent.

    Args:
      settings: The Settings of the agent.

    Returns:
      An Agent; start it with `start`.
    """
    return Agent(settings, clock.system_clock())

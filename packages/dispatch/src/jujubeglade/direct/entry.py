"""The entry of direct jobs: one process between clients and agents.

It accepts jobs from the platform's clients, owns them until they are answered, and
sends agents the newest cluster state; see `dispatcher`.
"""

import asyncio
import random

from jujubeglade.core import clock, link, log, metrics
from jujubeglade.direct import (
    configuration_fetch,
    contract,
    dispatcher,
    options,
    peer_entry,
    process,
    registration,
    route,
    route_table,
)
from jujubeglade.direct.job import Outcome, State

_MAX_LINKS = 1024
_TICK_MS = 50
#: The entry serves as usual for this long while the balancer notices that it leaves.
_BALANCER_NOTICE_MS = 3000
#: The part of the grace period that is reserved for closing.
_CLOSING_RESERVE_MS = 400
#: A longer gap between two ticks means that the agents have stopped what ran for this
#: entry.
_SUSPENDED_MS = contract.SILENCE_TIMEOUT_MS
_RETRY_AFTER_MS = 1000.0
#: What a log line shows of the names that a client chose.
_MAX_NAMES = 10
_MAX_NAME_CHARACTERS = 60
#: The memory that an open job takes for each of its tasks.
_TASK_BYTES = 1024

_log = log.get(__name__)


class Entry(process.Process):
    """One entry process, which answers the clients' requests."""

    def __init__(self, settings, clock):
        """Create the components; nothing runs yet.

        Args:
          settings: The DirectEntrySettings.
          clock: A Clock.
        """
        super().__init__(settings, clock, peer_entry.ROLE)
        self._dispatcher = dispatcher.Dispatcher(
            clock,
            settings.zone,
            settings.hold_ms,
            self._cluster_state,
            self._metrics,
            options.of_settings(settings),
            settings.name,
            self._inbound.departures,
        )
        self._request_servers = self._platform.new_request_servers(
            settings, self, self._inbound
        )
        self._route_table = route_table.new_table(route.NO_CONFIGURATION)
        self._configuration_fetch = configuration_fetch.ConfigurationFetch(
            self._cluster_state,
            str(settings.stream),
            self._fetch_configuration,
            random.Random(),
        )
        self._registration = None
        self._server = None
        self._is_leaving = False
        self._refuses_all = False

    @property
    def is_ready(self):
        """Return whether the balancer should send clients here."""
        return self.configuration is not route.NO_CONFIGURATION and not self._is_leaving

    @property
    def is_leaving(self):
        """Return whether connections should be closed after their response."""
        return self._is_leaving

    @property
    def fleet(self):
        """Return the Fleet, the workers known to this entry."""
        return self._dispatcher.fleet

    @property
    def configuration(self):
        """Return the Configuration in force; `route.NO_CONFIGURATION` without one."""
        return self._cluster_state.configuration

    def find_route(self, host, path):
        """Find the route of a request; see `RouteTable.find`.

        Args:
          host: A string.
          path: A string.

        Returns:
          A Match, or None.
        """
        return self._route_table.find(host, path)

    async def submit(self, submission, route, caller):
        """Run a job and wait for its outcome.

        Args:
          submission: A Submission.
          route: Its Route.
          caller: A Caller.

        Returns:
          An Outcome.
        """
        if self._refuses_all:
            return Outcome(State.REFUSED, "shutting down", _RETRY_AFTER_MS)
        job_id = submission.job_id
        count = sum(step.count for step in submission.steps)
        if not self.has_room_for(job_id, count):
            return self.refuse_for_room(job_id)
        nbytes = 0 if self._dispatcher.owns(job_id) else count * _TASK_BYTES
        self._inbound.accept(nbytes)
        try:
            return await self._dispatcher.submit(submission, route, caller)
        finally:
            self._inbound.accept(-nbytes)

    def has_room_for(self, job_id, count):
        """Return whether the memory of this entry allows a job.

        Args:
          job_id: A string; a job that is in progress needs no more memory.
          count: An integer, the number of its tasks.
        """
        nbytes = count * _TASK_BYTES
        return self._dispatcher.owns(job_id) or self._inbound.has_room(nbytes)

    def refuse_for_room(self, job_id):
        """Refuse a job for which this entry has no memory.

        Args:
          job_id: A string.

        Returns:
          An Outcome.
        """
        reason = "too many tasks in progress"
        _log.info("request refused", job=job_id, reason=reason)
        self._metrics.count(metrics.Counter.REFUSED, "overloaded")
        return Outcome(State.REFUSED, reason, _RETRY_AFTER_MS)

    def cancel(self, job_id):
        """Stop a job; see `Dispatcher.cancel`."""
        return self._dispatcher.cancel(job_id)

    def count_unstarted(self, route):
        """Count the jobs of a route of which no task can have started."""
        return self._dispatcher.count_unstarted(route)

    def note_ignored(self, job_id, names):
        """Log the fields of a request that this release does not support.

        Args:
          job_id: A string.
          names: A tuple of strings.
        """
        shown = ",".join(name[:_MAX_NAME_CHARACTERS] for name in names[:_MAX_NAMES])
        _log.warning("fields ignored", job=job_id, count=len(names), names=shown)

    def note_refused(self, job_id, reason):
        """Log and count a request that was refused before it became a job.

        Args:
          job_id: A string; empty when the request named no job.
          reason: A string.
        """
        _log.info("request refused", job=job_id, reason=reason)
        self._metrics.count(metrics.Counter.REFUSED, "bad_request")

    async def start(self):
        """Open the ports and start the tasks."""
        await self._open(self._measure)
        stream = self._settings.stream
        self._registration = registration.Registration(
            self._store, self._settings.name, str(stream)
        )
        self._cluster_state.subscribe(self._on_cluster_state)
        self._server = await link.serve(
            (stream.host, stream.port),
            self._cluster_key,
            self._identity,
            self,
            _MAX_LINKS,
            self._inbound,
        )
        await self._request_servers.open()
        self._keep(self._registration.run)
        self._keep(self._configuration_fetch.run)
        self._keep(self._tick)
        _log.info("started", incarnation=self._identity.incarnation)

    async def stop(self):
        """Leave gracefully: wait for requests in progress, then close everything."""
        _log.info("leaving", jobs=self._dispatcher.in_progress)
        self._is_leaving = True
        leave_started_ms = self._clock.now_ms()
        end_ms = leave_started_ms + self._settings.grace_ms - _CLOSING_RESERVE_MS
        await asyncio.sleep(clock.seconds(_BALANCER_NOTICE_MS))
        self._refuses_all = True
        while self._dispatcher.in_progress and self._clock.now_ms() < end_ms:
            await asyncio.sleep(clock.seconds(_TICK_MS))
        self._dispatcher.abandon_all("shutting down")
        await asyncio.sleep(clock.seconds(_TICK_MS))
        await self.close()
        _log.info("stopped")

    async def close(self):
        """Close everything at once."""
        await self._close()
        await self._request_servers.close()
        await self._server.close()

    def on_link(self, link):
        """Register the link of an agent; one of another entry only asks.

        Args:
          link: A Link.
        """
        if link.remote.role == peer_entry.ROLE:
            peer_entry.limit_link(link)
            return
        self._dispatcher.on_link(link)
        self._spawn(self._watch_link(link))

    def on_message(self, link, body):
        """Handle a message of an agent.

        Args:
          link: A Link.
          body: A message of `contract`.
        """
        if isinstance(body, contract.Room):
            self._configuration_fetch.note_revision(body.configuration)
        self._dispatcher.on_message(link, body)

    async def on_request(self, link, body):
        """Answer the request of another entry.

        Args:
          link: A Link.
          body: A message of `contract`.

        Returns:
          A message, or a Problem.
        """
        return peer_entry.answer(body, self._cluster_state)

    async def _fetch_configuration(self, address):
        return await peer_entry.fetch_configuration(
            address, self._cluster_key, self._identity
        )

    def _on_cluster_state(self, view):
        if isinstance(view, contract.Members):
            self._registration.check(view.addresses)
            return
        if isinstance(view, route.Configuration):
            self._route_table = route_table.new_table(view)
        for worker in self.fleet:
            worker.views.send_newer(self._cluster_state, worker.link)
        self._dispatcher.heartbeats.send()

    def _operators_prefix(self):
        """Return the prefix of all of the operators' keys."""
        return self._platform.operators_prefix

    def _measure(self):
        """Set the gauges."""
        self._metrics.set(metrics.Gauge.REQUESTS, self._dispatcher.in_progress)
        self._metrics.set(metrics.Gauge.REVISION, self.configuration.revision)
        workers = sum(worker.is_accepting for worker in self.fleet)
        self._metrics.set(metrics.Gauge.WORKERS, workers)

    async def _watch_link(self, link):
        await link.wait_closed()
        self._dispatcher.on_link_lost(link)

    async def _tick(self):
        """Send heartbeats and close the links of silent agents, until cancelled."""
        heartbeat_sent_ms = 0
        before_ms = self._clock.elapsed_ms()
        while True:
            await asyncio.sleep(clock.seconds(_TICK_MS))
            now_ms = self._clock.elapsed_ms()
            if now_ms - before_ms > _SUSPENDED_MS:
                self._resume(now_ms - before_ms)
            before_ms = now_ms
            self._abort_silent()
            self._dispatcher.tick()
            if now_ms - heartbeat_sent_ms >= contract.HEARTBEAT_INTERVAL_MS:
                heartbeat_sent_ms = now_ms
                self._dispatcher.heartbeats.send()

    def _resume(self, gap_ms):
        """Abort all links and jobs after a suspension of this VM.

        By then the agents count this entry as lost and have stopped what ran for it.
        """
        _log.warning("was suspended", gap_ms=int(gap_ms))
        for worker in self.fleet:
            worker.link.abort()
        self._dispatcher.abandon_all("entry was suspended")

    def _abort_silent(self):
        now_ms = self._clock.now_ms()
        for worker in self.fleet:
            silent_ms = now_ms - worker.link.last_received_ms
            if worker.link.is_open and silent_ms > contract.SILENCE_TIMEOUT_MS:
                _log.warning("worker silent", worker=worker.identity.name)
                worker.link.abort()


def new_entry(settings):
    """Make an entry.

    Args:
      settings: The DirectEntrySettings.

    Returns:
      An Entry; start it with `start`.
    """
    return Entry(settings, clock.system_clock())

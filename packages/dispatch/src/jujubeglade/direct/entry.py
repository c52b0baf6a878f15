"""The entry of direct jobs: one process between clients and agents.

It takes jobs from the platform's clients, owns them until they are answered, and
tells agents what it believes of operators and entries; see `dispatcher`.
"""

import asyncio

from jujubeglade.core import clock, link, log, metrics
from jujubeglade.direct import (
    contract,
    dispatcher,
    process,
    registration,
    route,
)
from jujubeglade.direct.job import Outcome, State

_MAX_LINKS = 1024
_TICK_MS = 50
#: While the balancer notices that this entry leaves, it serves as usual.
_LINGER_MS = 3000
#: The rest of the grace is kept for closing.
_LAST_MS = 400
#: A gap between two ticks after which agents have stopped what ran for this entry.
_SUSPENDED_MS = contract.SILENCE_MS
_RETRY_AFTER_MS = 1000.0

_log = log.get(__name__)


class Entry(process.Process):
    """One entry process and its parts; also the desk that answers clients."""

    def __init__(self, settings, wall):
        """Build the parts; nothing runs yet.

        Args:
          settings: The DirectEntrySettings.
          wall: A Clock.
        """
        super().__init__(settings, wall, "entry")
        self._dispatcher = dispatcher.Dispatcher(
            wall, settings.zone, settings.hold_ms, self._cluster_state, self._metrics
        )
        self._front = self._platform.open_front(settings, self)
        self._registration = None
        self._server = None
        self._is_leaving = False
        self._refuses_all = False

    @property
    def is_ready(self):
        """Tell whether the balancer should send clients here."""
        return (
            self._cluster_state.operators.configuration is not None
            and not self._is_leaving
        )

    @property
    def is_leaving(self):
        """Tell whether connections should be closed after their answer."""
        return self._is_leaving

    @property
    def fleet(self):
        """Return the Fleet, the workers that this entry knows."""
        return self._dispatcher.fleet

    @property
    def configuration(self):
        """Return the Configuration in force, or None."""
        return self._cluster_state.operators.configuration

    def find_route(self, host, path):
        """Find the route of a request; see `route.find`.

        Args:
          host: A string.
          path: A string.

        Returns:
          A Match, or None.
        """
        return route.find(self.configuration, host, path)

    async def submit(self, submission, chosen):
        """Run a job and wait for its outcome.

        Args:
          submission: A Submission.
          chosen: Its Route.

        Returns:
          An Outcome.
        """
        if self._refuses_all:
            return Outcome(State.REFUSED, "shutting down", _RETRY_AFTER_MS)
        return await self._dispatcher.submit(submission, chosen)

    def cancel(self, job_id):
        """Stop a job; see `Dispatcher.cancel`."""
        return self._dispatcher.cancel(job_id)

    def pending(self, chosen):
        """Count the jobs of a route of which nothing has started."""
        return self._dispatcher.pending(chosen)

    def note_ignored(self, job_id, names):
        """Log the fields of a request that mean nothing to this release.

        Args:
          job_id: A string.
          names: A tuple of strings.
        """
        _log.warning("fields ignored", job=job_id, names=",".join(names))

    def note_refused(self, job_id, reason):
        """Log a request that was refused before it became a job.

        Args:
          job_id: A string; empty when the request named none.
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
        )
        await self._front.open()
        self._spawn(self._registration.run())
        self._spawn(self._tick())
        _log.info("started", incarnation=self._identity.incarnation)

    async def stop(self):
        """Leave gracefully: cut no request, then close everything."""
        _log.info("leaving", jobs=self._dispatcher.in_progress)
        self._is_leaving = True
        begun_ms = self._clock.now_ms()
        end_ms = begun_ms + self._settings.grace_ms - _LAST_MS
        await asyncio.sleep(clock.seconds(_LINGER_MS))
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
        await self._front.close()
        await self._server.close()

    def on_link(self, opened):
        """Take the link of an agent.

        Args:
          opened: A Link.
        """
        self._dispatcher.on_link(opened)
        self._spawn(self._watch(opened))

    def on_message(self, opened, body):
        """Take a message of an agent.

        Args:
          opened: A Link.
          body: A message of `contract`.
        """
        self._dispatcher.on_message(opened, body)

    def _on_cluster_state(self):
        for known in self.fleet:
            for view in self._cluster_state.newer_than(*known.known):
                known.link.send(view)
        self._registration.check(self._cluster_state.members.addresses)

    def _measure(self):
        """Set the gauges."""
        self._metrics.set(metrics.Gauge.REQUESTS, self._dispatcher.in_progress)
        self._metrics.set(
            metrics.Gauge.REVISION, self._cluster_state.operators.revision
        )
        workers = sum(known.is_accepting for known in self.fleet)
        self._metrics.set(metrics.Gauge.WORKERS, workers)

    async def _watch(self, opened):
        await opened.wait_closed()
        self._dispatcher.on_link_lost(opened)

    async def _tick(self):
        """Send heartbeats, and let go of agents that are silent."""
        beat_ms = 0
        before_ms = self._clock.elapsed_ms()
        while True:
            await asyncio.sleep(clock.seconds(_TICK_MS))
            now_ms = self._clock.elapsed_ms()
            if now_ms - before_ms > _SUSPENDED_MS:
                self._resume(now_ms - before_ms)
            before_ms = now_ms
            self._abort_silent()
            if now_ms - beat_ms >= contract.BEAT_MS:
                beat_ms = now_ms
                self._dispatcher.send_heartbeats()
            self._dispatcher.tick()

    def _resume(self, gap_ms):
        """Go on after a suspension in which agents took this entry as lost."""
        _log.warning("was suspended", gap_ms=int(gap_ms))
        for known in self.fleet:
            known.link.abort()
        self._dispatcher.abandon_all("entry was suspended")

    def _abort_silent(self):
        now_ms = self._clock.now_ms()
        for known in self.fleet:
            silent_ms = now_ms - known.link.last_received_ms
            if known.link.is_open and silent_ms > contract.SILENCE_MS:
                _log.warning("worker silent", worker=known.identity.name)
                known.link.abort()


def new_entry(settings):
    """Make an entry.

    Args:
      settings: The DirectEntrySettings.

    Returns:
      An Entry; start it with `start`.
    """
    return Entry(settings, clock.system_clock())

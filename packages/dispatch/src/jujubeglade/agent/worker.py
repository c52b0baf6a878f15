"""Workers: the agents on which a home places tasks.

A `Worker` is the home's view of one candidate: the link to it, the attempts of this
home that are outstanding there, the load that it reports, and its latest slowdown and
failures. One asyncio task for each worker keeps the link open while it is in use.
"""

import asyncio

from jujubeglade.agent import health
from jujubeglade.core import clock, link, problem

_MIN_REDIAL_DELAY_MS = 50
_MAX_REDIAL_DELAY_MS = 1000
_FAILED_DIALS_BEFORE_LOST = 2
_SLOWDOWN_SAMPLE_WEIGHT = 0.2
_MAX_SLOWDOWN = 20.0
_SLOWDOWN_HALF_LIFE_MS = 10_000


class Worker:
    """The home's view of one candidate."""

    __slots__ = (
        "_dial",
        "_dial_decided",
        "_failed_dials",
        "_foreign_tasks",
        "_link",
        "_paused_until_ms",
        "_slots",
        "_slowdowns",
        "drained",
        "gone",
        "health",
        "last_used_ms",
        "link_was_cut",
        "member",
        "outstanding",
    )

    def __init__(self, member, last_used_ms, dial=None):
        """Create a worker without a link.

        Args:
          member: A Member.
          last_used_ms: A number, the monotonic time of its last use.
          dial: A coroutine function that opens links; None means `link.dial`.
        """
        self.member = member
        self._dial = dial
        # The attempts of this home that have not ended, as tuples of the job's key, the
        # task's index and the attempt's number.
        self.outstanding = set()
        # Set when the worker is no longer dialed: it was retired, or its incarnation
        # has ended.
        self.gone = False
        # Whether it was drained in the configuration that was applied last.
        self.drained = False
        self.health = health.Record()
        # For each service, the ratio of run times to expected ones, and when it was
        # last updated.
        self._slowdowns = {}
        self.last_used_ms = last_used_ms
        self.link_was_cut = False
        self._link = None
        self._failed_dials = 0
        self._foreign_tasks = 0
        self._slots = member.slots
        self._paused_until_ms = 0.0
        # Set once a link is open or too many dials have failed.
        self._dial_decided = asyncio.Event()

    @property
    def link(self):
        """Return the open link, or None."""
        return self._link

    @property
    def may_connect(self):
        """Return whether a link is open or may still be opened soon."""
        if self.gone:
            return False
        return self._link is not None or self._failed_dials < _FAILED_DIALS_BEFORE_LOST

    @property
    def slots(self):
        """Return how many tasks the worker runs at once."""
        return self._slots

    @property
    def backlog(self):
        """Return how many tasks it has, from this home and from others."""
        return len(self.outstanding) + self._foreign_tasks

    def is_paused(self, now_ms):
        """Return whether nothing may be placed on the worker for now.

        Args:
          now_ms: A number, the monotonic time.
        """
        return now_ms < self._paused_until_ms

    def pause(self, until_ms):
        """Place nothing on the worker for a while.

        Args:
          until_ms: A number, the monotonic time at which the pause ends.
        """
        self._paused_until_ms = max(self._paused_until_ms, until_ms)

    def slowdown(self, service, now_ms):
        """Return how many times slower than expected tasks of a service run here.

        The value decays towards 1 without new samples, so that a slow worker is given
        a task from time to time and can turn out to be fast again.

        Args:
          service: A string.
          now_ms: A number, the monotonic time.

        Returns:
          A number, the ratio of the run times to the expected ones.
        """
        sample = self._slowdowns.get(service)
        if sample is None:
            return 1.0
        ratio, sampled_ms = sample
        return 1.0 + (ratio - 1.0) * 0.5 ** (
            (now_ms - sampled_ms) / _SLOWDOWN_HALF_LIFE_MS
        )

    def record_slowdown(self, service, ratio, now_ms):
        """Update the slowdown after a task ran here.

        Args:
          service: A string.
          ratio: A number, the ratio of its run time to the expected one.
          now_ms: A number, the monotonic time.
        """
        previous = self.slowdown(service, now_ms)
        slowdown = (
            previous + (min(ratio, _MAX_SLOWDOWN) - previous) * _SLOWDOWN_SAMPLE_WEIGHT
        )
        self._slowdowns[service] = (slowdown, now_ms)

    def record_load(self, load):
        """Update the load that the worker reports.

        Args:
          load: A Load.
        """
        total_tasks = load.queued + load.running
        self._slots = load.slots
        self._foreign_tasks = max(0, total_tasks - len(self.outstanding))

    async def wait_for_link(self, timeout_ms):
        """Wait for an open link.

        Args:
          timeout_ms: A number.

        Returns:
          A Link, or None when none was opened in time.
        """
        if self._link is None and self.may_connect:
            try:
                async with asyncio.timeout(clock.seconds(timeout_ms)):
                    await self._dial_decided.wait()
            except TimeoutError:
                return None
        return self._link

    def retire(self):
        """Close the link and stop dialing for good."""
        self.gone = True
        if self._link is not None:
            self._link.close()

    async def maintain_link(self, cluster_key, identity, home):
        """Dial the worker, run its link, and dial again; runs once for each worker.

        Args:
          cluster_key: Bytes.
          identity: An Identity, of this agent.
          home: The Home, notified when the link opens or closes.
        """
        delay_ms = _MIN_REDIAL_DELAY_MS
        while not self.gone:
            dial = self._dial or link.dial
            dialed = await dial(
                self.member.address,
                cluster_key,
                identity,
                home,
                incarnation=self.member.incarnation,
            )
            if dialed.is_err() and dialed.err_value.kind == problem.Kind.CONFLICT:
                # A later incarnation of the agent: the one in the tickets has ended.
                self.gone = True
                home.on_worker_lost(self)
                break
            if dialed.is_err():
                self._failed_dials += 1
                if not self.may_connect:
                    self._dial_decided.set()
                home.on_worker_changed(self)
                await asyncio.sleep(clock.seconds(delay_ms))
                delay_ms = min(2 * delay_ms, _MAX_REDIAL_DELAY_MS)
                continue
            delay_ms = _MIN_REDIAL_DELAY_MS
            await self._run(dialed.ok_value, home)
        self._dial_decided.set()

    async def _run(self, worker_link, home):
        self._link = worker_link
        self._failed_dials = 0
        self._dial_decided.set()
        home.on_worker_changed(self)
        watch_task = asyncio.create_task(
            worker_link.watch(lambda: bool(self.outstanding))
        )
        try:
            await worker_link.run()
        finally:
            watch_task.cancel()
            self._dial_decided.clear()
            self._link = None
            self.link_was_cut = True
            home.on_worker_lost(self)

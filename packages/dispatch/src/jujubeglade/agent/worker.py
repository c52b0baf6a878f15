"""Workers: the agents on which a home places tasks.

A `Worker` is the home's view of one candidate: the link to it, the attempts it
holds for this home, how busy it says it is, and how it has done lately. One task
for each worker keeps its link up while the worker is in use.
"""

import asyncio

from jujubeglade.agent import health
from jujubeglade.core import clock, link

_REDIAL_FIRST_MS = 50
_REDIAL_LAST_MS = 1000
_FAILED_DIALS_BEFORE_LOST = 2
_PACE_WEIGHT = 0.2
_PACE_LIMIT = 20.0
_PACE_HALVED_MS = 10_000


class Worker:
    """One candidate, as a home sees it."""

    __slots__ = (
        "_dial",
        "_failed_dials",
        "_foreign",
        "_paces",
        "_link",
        "_paused_until_ms",
        "_settled",
        "_slots",
        "drained",
        "gone",
        "health",
        "member",
        "outstanding",
        "last_used_ms",
        "was_lost",
    )

    def __init__(self, member, last_used_ms, dial=None):
        """Start without a link.

        Args:
          member: A Member.
          last_used_ms: A number, the monotonic time of its last use.
          dial: A coroutine function that opens links; None means `link.dial`.
        """
        self.member = member
        self._dial = dial
        self.outstanding = set()
        self.gone = False
        # Whether it was out of service at the last look.
        self.drained = False
        self.health = health.Record()
        # By service, the ratio of the run times to the expected ones, and when.
        self._paces = {}
        self.last_used_ms = last_used_ms
        # Whether an earlier link was cut.
        self.was_lost = False
        self._link = None
        self._failed_dials = 0
        self._foreign = 0
        self._slots = member.slots
        self._paused_until_ms = 0.0
        # Set once it is known whether a link comes about.
        self._settled = asyncio.Event()

    @property
    def link(self):
        """Return the open link, or None."""
        return self._link

    @property
    def may_connect(self):
        """Tell whether a link exists or may still come about soon."""
        if self.gone:
            return False
        return self._link is not None or self._failed_dials < _FAILED_DIALS_BEFORE_LOST

    @property
    def slots(self):
        """Return how many tasks the worker runs at once."""
        return self._slots

    @property
    def backlog(self):
        """Return how many tasks it holds, from this home and from others."""
        return len(self.outstanding) + self._foreign

    def is_paused(self, now_ms):
        """Tell whether the worker asked to be left alone for now.

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

    def slowness(self, service, now_ms):
        """Tell how slow tasks of a service ran here lately.

        What is not observed any more is forgotten, so that a slow worker gets a
        task to prove itself now and then.

        Args:
          service: A string.
          now_ms: A number, the monotonic time.

        Returns:
          A number, the ratio of the run times to the expected ones.
        """
        held = self._paces.get(service)
        if held is None:
            return 1.0
        ratio, at_ms = held
        return 1.0 + (ratio - 1.0) * 0.5 ** ((now_ms - at_ms) / _PACE_HALVED_MS)

    def note_pace(self, service, ratio, now_ms):
        """Take over how a task ran here.

        Args:
          service: A string.
          ratio: A number, of its run time to the expected one.
          now_ms: A number, the monotonic time.
        """
        former = self.slowness(service, now_ms)
        pace = former + (min(ratio, _PACE_LIMIT) - former) * _PACE_WEIGHT
        self._paces[service] = (pace, now_ms)

    def note_load(self, load):
        """Take over what the worker says of itself.

        Args:
          load: A Load.
        """
        total = load.queued + load.running
        self._slots = load.slots
        self._foreign = max(0, total - len(self.outstanding))

    async def connected(self, timeout_ms):
        """Wait for an open link.

        Args:
          timeout_ms: A number.

        Returns:
          A Link, or None when none came about in time.
        """
        if self._link is None and self.may_connect:
            try:
                async with asyncio.timeout(clock.seconds(timeout_ms)):
                    await self._settled.wait()
            except TimeoutError:
                return None
        return self._link

    def retire(self):
        """Give the worker up for good."""
        self.gone = True
        if self._link is not None:
            self._link.close()

    async def keep_link(self, cluster_key, identity, home):
        """Dial the worker, run its link, and dial again; one task a worker.

        Args:
          cluster_key: Bytes.
          identity: An Identity, of this agent.
          home: The Home, told of the link's opening and closing.
        """
        delay_ms = _REDIAL_FIRST_MS
        while not self.gone:
            dial = self._dial or link.dial
            dialed = await dial(self.member.address, cluster_key, identity, home)
            if dialed.is_err():
                self._failed_dials += 1
                if not self.may_connect:
                    self._settled.set()
                home.on_worker_changed(self)
                await asyncio.sleep(clock.seconds(delay_ms))
                delay_ms = min(2 * delay_ms, _REDIAL_LAST_MS)
                continue
            delay_ms = _REDIAL_FIRST_MS
            await self._run(dialed.ok_value, home)
        self._settled.set()

    async def _run(self, opened, home):
        if opened.remote.incarnation != self.member.incarnation:
            # Another life of the agent: the one that the tickets name is over.
            self.gone = True
            opened.close()
            home.on_worker_lost(self)
            return
        self._link = opened
        self._failed_dials = 0
        self._settled.set()
        home.on_worker_changed(self)
        watching = asyncio.create_task(opened.watch(lambda: bool(self.outstanding)))
        try:
            await opened.run()
        finally:
            watching.cancel()
            self._settled.clear()
            self._link = None
            self.was_lost = True
            home.on_worker_lost(self)

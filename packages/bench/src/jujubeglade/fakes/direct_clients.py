"""Clients of direct jobs in virtual time, which submit again as the protocol says."""

import asyncio

from jujubeglade.core import clock
from jujubeglade.direct import callers, job
from jujubeglade.fakes import direct_site

_DELAY_MS = 1.5
#: An entry reads the end of a connection in a later turn than what came before it.
_END_DELAY_MS = 1.0
_MAX_TRIES = 4


class Departures(callers.Departures):
    """The clients of an entry that have left, as the system of its VM knows."""

    __slots__ = ("_departed",)

    def __init__(self):
        """Start with none."""
        self._departed = []

    def note(self, request):
        """Note that the end of a connection has arrived, also at a frozen entry.

        Args:
          request: A Request.
        """
        self._departed.append(request)

    def collect(self):
        """Tell the requests; see `callers.Departures`."""
        departed, self._departed = self._departed, []
        for request in departed:
            request.on_departure()
        return bool(departed)


class Request(callers.Caller):
    """One request of a client to an entry."""

    __slots__ = (
        "_answer",
        "_entry",
        "_has_departed",
        "_host",
        "_loop",
        "_process",
        "_submission",
        "_task",
    )

    def __init__(self, host, submission):
        """Send the request.

        Args:
          host: An EntryHost.
          submission: A Submission.
        """
        self._host = host
        self._entry = host.entry
        self._process = host.process
        self._submission = submission
        self._loop = asyncio.get_running_loop()
        # An Outcome; None when the connection broke.
        self._answer = self._loop.create_future()
        self._task = None
        self._has_departed = False
        host.requests[self] = None
        self._deliver(self._begin)
        if self._process.is_killed:
            self.break_off()

    @property
    def is_answered(self):
        """Return whether it has an outcome."""
        return self._answer.done()

    @property
    def has_departed(self):
        """Return whether the entry knows that the client has left."""
        return self._has_departed

    def on_departure(self):
        """Note that the entry knows that the client has left."""
        self._has_departed = True

    async def outcome(self):
        """Wait for the answer, until the client's timeout.

        Returns:
          An Outcome; None when the connection broke or no answer came in time.
        """
        timeout_s = clock.seconds(self._submission.timeout_ms)
        await asyncio.wait((self._answer,), timeout=timeout_s)
        if not self._answer.done():
            self.reset()
        return self._answer.result()

    def reset(self, read_after_ms=_END_DELAY_MS):
        """Break the connection; the entry reads that after what came before.

        Args:
          read_after_ms: A number, how long the entry reads what came before.
        """
        self.break_off()
        self._loop.call_later(clock.seconds(_DELAY_MS), self._arrive)
        self._deliver(lambda: self._read_end(read_after_ms))

    def break_off(self):
        """Break the connection for the client only."""
        self._host.requests.pop(self, None)
        self._settle(None)

    def _deliver(self, function):
        delay_s = clock.seconds(_DELAY_MS)
        self._loop.call_later(delay_s, self._process.receive, function)

    def _begin(self):
        """Pass the request to the entry; runs in its process."""
        self._task = self._loop.create_task(self._run())

    def _arrive(self):
        """Let the system of the entry's VM know that the connection has ended."""
        self._entry.departures.note(self)

    def _read_end(self, delay_ms):
        self._loop.call_later(clock.seconds(delay_ms), self._cancel)

    def _cancel(self):
        if self._task is not None:
            self._task.cancel()

    async def _run(self):
        outcome = await self._entry.submit(self._submission, direct_site.ROUTE, self)
        self._host.requests.pop(self, None)
        self._settle(outcome)

    def _settle(self, outcome):
        if not self._answer.done():
            self._answer.set_result(outcome)


async def run(site, submission, host=None):
    """Submit a job until an answer has its outcome, at a random entry each time.

    Args:
      site: A FieldSite.
      submission: A Submission.
      host: An EntryHost for the first try; None for a random one.

    Returns:
      An Outcome, or None after too many tries.
    """
    for _ in range(_MAX_TRIES):
        first, host = host, None
        request = Request(first or site.rng.choice(site.entries), submission)
        outcome = await request.outcome()
        if outcome is not None and outcome.state is not job.State.UNFINISHED:
            return outcome
        await asyncio.sleep(clock.seconds(direct_site.RESUBMIT_DELAY_MS))
    return None

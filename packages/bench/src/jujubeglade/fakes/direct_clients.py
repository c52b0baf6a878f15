"""Clients of direct jobs in virtual time, which submit again as the protocol says."""

import asyncio

from jujubeglade.core import clock
from jujubeglade.direct import job
from jujubeglade.fakes import direct_site

_DELAY_MS = 1.5
_MAX_TRIES = 4


class Request:
    """One request of a client to an entry."""

    __slots__ = (
        "_answer",
        "_entry",
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
        host.requests[self] = None
        self._deliver(self._begin)
        if self._process.is_killed:
            self.break_off()

    @property
    def is_answered(self):
        """Return whether it has an outcome."""
        return self._answer.done()

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

    def reset(self):
        """Break the connection; the entry notices at once."""
        self.break_off()
        self._deliver(self._cancel)

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

    def _cancel(self):
        if self._task is not None:
            self._task.cancel()

    async def _run(self):
        outcome = await self._entry.submit(self._submission, direct_site.ROUTE)
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

"""A client of the HTTP interface, for callers and operators.

    async with client.open_client(["http://10.0.0.1:8080"], token) as caller:
        tickets = await caller.tickets(1)
        answer = await caller.submit(submission_with_id, wait_ms=2000)

Each method returns a Result: an answer, or a Problem that names its remedy. A
lost connection is answered by the same request, with the same id, to the next
entry; see `_transport`.
"""

import asyncio
import contextlib
import urllib.parse

import aiohttp

from jujubeglade.core import clock
from jujubeglade.tools import _answers, _transport

AuditAnswer = _answers.AuditAnswer
CommandAnswer = _answers.CommandAnswer
JobAnswer = _answers.JobAnswer
TaskAnswer = _answers.TaskAnswer

RUNNING = "running"
_PAUSE_MS = 50


class Client:
    """What a caller or an operator may ask for."""

    __slots__ = ("_transport",)

    def __init__(self, transport):
        """Use a transport; see `open_client`.

        Args:
          transport: A Transport.
        """
        self._transport = transport

    async def tickets(self, count=1):
        """Take tickets: the ids of submissions to come.

        Args:
          count: An integer.

        Returns:
          A Result of a tuple of strings, or of a Problem.
        """
        body = {"count": count}
        request = _transport.Request("POST", "/v1/tickets", body)
        return await self._ask(request, _answers.read_tickets)

    async def submit(self, submission, wait_ms=0):
        """Submit a job; the same id never starts it twice.

        Args:
          submission: A dict as the interface has it, with its `id`.
          wait_ms: An integer, how long to wait for the whole answer.

        Returns:
          A Result of a JobAnswer, or of a Problem.
        """
        body = {**submission, "wait_ms": wait_ms}
        request = _transport.Request("POST", "/v1/jobs", body, wait_ms)
        return await self._ask(request, _answers.read_job)

    async def status(self, job, wait_ms=0):
        """Ask for the answer of a job.

        Args:
          job: A string, the id of the submission.
          wait_ms: An integer, how long to wait for the whole answer.

        Returns:
          A Result of a JobAnswer, or of a Problem.
        """
        path = f"{_job_path(job)}?wait_ms={wait_ms}"
        request = _transport.Request("GET", path, wait_ms=wait_ms)
        return await self._ask(request, _answers.read_job)

    async def wait(self, job, wait_ms):
        """Ask for the answer of a job until it no longer runs.

        Args:
          job: A string, the id of the submission.
          wait_ms: An integer, how long each request waits.

        Returns:
          A Result of a JobAnswer that isn't running, or of a Problem.
        """
        answer = await self.status(job, wait_ms)
        while answer.is_ok() and answer.ok().state == RUNNING:
            await asyncio.sleep(clock.seconds(_PAUSE_MS))
            answer = await self.status(job, wait_ms)
        return answer

    async def cancel(self, job):
        """Cancel a job.

        Args:
          job: A string, the id of the submission.

        Returns:
          A Result of a JobAnswer, or of a Problem.
        """
        request = _transport.Request("DELETE", _job_path(job))
        return await self._ask(request, _answers.read_job)

    async def command(self, command_id, text):
        """Send an operator's command; the same id never does it twice.

        Args:
          command_id: A string.
          text: A string, in the operators' language.

        Returns:
          A Result of a CommandAnswer, or of a Problem.
        """
        body = {"id": command_id, "text": text}
        request = _transport.Request("POST", "/v1/commands", body)
        return await self._ask(request, _answers.read_command)

    async def audit(self):
        """Fetch the audit records that the store holds.

        Returns:
          A Result of an AuditAnswer, or of a Problem.
        """
        answer = await self._transport.send(_transport.Request("GET", "/v1/audit"))
        return answer.map(_answers.read_audit)

    async def _ask(self, request, read):
        """Send a request and read its answer."""
        answer = await self._transport.send(request)
        if answer.is_err():
            return answer
        return _answers.read_body(answer.ok().body, read)


@contextlib.asynccontextmanager
async def open_client(entries, token):
    """Open a client.

    Args:
      entries: A sequence of strings, base URLs; one at least.
      token: A string, of a tenant's clients or of an operator.

    Yields:
      A Client.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    async with aiohttp.ClientSession(headers=headers) as session:
        yield Client(_transport.Transport(session, entries))


def _job_path(job):
    return f"/v1/jobs/{urllib.parse.quote(job, safe='')}"

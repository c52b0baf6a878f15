"""A client of the HTTP interface, for callers and operators.

    async with client.open_client(["http://10.0.0.1:8080"], token) as caller:
        tickets = await caller.tickets(1)
        answer = await caller.submit(submission_with_id, wait_ms=2000)

Each method returns a Result: an answer, or a Problem that names its remedy. After a
lost connection the same request, with the same id, is sent to the next entry; see
`_transport`.
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
_POLL_PAUSE_MS = 50


class Client:
    """The requests that a caller or an operator may send."""

    __slots__ = ("_transport",)

    def __init__(self, transport):
        """Create a client; `open_client` also opens its connections.

        Args:
          transport: A Transport.
        """
        self._transport = transport

    async def tickets(self, count=1):
        """Fetch tickets, which are the ids of later submissions.

        Args:
          count: An integer.

        Returns:
          A Result of a tuple of strings, or of a Problem.
        """
        body = {"count": count}
        request = _transport.Request("POST", "/v1/tickets", body)
        return await self._send(request, _answers.decode_tickets)

    async def submit(self, submission, wait_ms=0):
        """Submit a job; a repeated id never starts it twice.

        Args:
          submission: A dict in the format of the HTTP interface, with its `id`.
          wait_ms: An integer, how long the entry waits for the job to end.

        Returns:
          A Result of a JobAnswer, or of a Problem.
        """
        body = {**submission, "wait_ms": wait_ms}
        request = _transport.Request("POST", "/v1/jobs", body, wait_ms)
        return await self._send(request, _answers.decode_job)

    async def status(self, job, wait_ms=0):
        """Ask for the answer of a job.

        Args:
          job: A string, the id of the submission.
          wait_ms: An integer, how long the entry waits for the job to end.

        Returns:
          A Result of a JobAnswer, or of a Problem.
        """
        path = f"{_job_path(job)}?wait_ms={wait_ms}"
        request = _transport.Request("GET", path, wait_ms=wait_ms)
        return await self._send(request, _answers.decode_job)

    async def wait(self, job, wait_ms):
        """Ask for the answer of a job until the job no longer runs.

        Args:
          job: A string, the id of the submission.
          wait_ms: An integer, how long each request waits.

        Returns:
          A Result of a JobAnswer that isn't running, or of a Problem.
        """
        answer = await self.status(job, wait_ms)
        while answer.is_ok() and answer.ok().state == RUNNING:
            await asyncio.sleep(clock.seconds(_POLL_PAUSE_MS))
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
        return await self._send(request, _answers.decode_job)

    async def command(self, command_id, text):
        """Send an operator's command; a repeated id never carries it out twice.

        Args:
          command_id: A string.
          text: A string, in the operators' language.

        Returns:
          A Result of a CommandAnswer, or of a Problem.
        """
        body = {"id": command_id, "text": text}
        request = _transport.Request("POST", "/v1/commands", body)
        return await self._send(request, _answers.decode_command)

    async def audit(self):
        """Fetch the audit records in the store.

        Returns:
          A Result of an AuditAnswer, or of a Problem.
        """
        answer = await self._transport.send(_transport.Request("GET", "/v1/audit"))
        return answer.map(_answers.decode_audit)

    async def _send(self, request, decode):
        """Send a request and decode its answer."""
        answer = await self._transport.send(request)
        if answer.is_err():
            return answer
        return _answers.decode_body(answer.ok().body, decode)


@contextlib.asynccontextmanager
async def open_client(entries, token):
    """Open a client, and close its connections at the end.

    Args:
      entries: A sequence of strings, base URLs; at least one.
      token: A string, the token of a tenant's clients or of an operator; empty to
        send none.

    Yields:
      A Client.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    async with aiohttp.ClientSession(headers=headers) as session:
        yield Client(_transport.Transport(session, entries))


def _job_path(job):
    return f"/v1/jobs/{urllib.parse.quote(job, safe='')}"

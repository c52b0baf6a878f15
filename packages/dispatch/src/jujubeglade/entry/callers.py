"""The HTTP interface for clients; see docs/DESIGN.md, "Interfaces"."""

import asyncio
import dataclasses
import json

import result
from aiohttp import web

from jujubeglade.core import clock, http_body, job, metrics, problem, ticket
from jujubeglade.entry import intake, refusals, tokens

_STATUS_RUNNING = 202
_MAX_WAIT_DIGITS = 9
_BODY_TIMEOUT_MS = 10_000
#: The decoded job and its encoded tasks, beside each other.
_DECODED_FACTOR = 2
_RETRY_AFTER_MS = 500


class Callers:
    """The handlers of one entry for requests of clients."""

    def __init__(self, entry):
        """Create the handlers of an entry.

        Args:
          entry: The Entry.
        """
        self._entry = entry
        self._refusals = entry.refusals
        self._tenant_tokens = tokens.Tokens(entry.settings.caller_tokens)
        self._operator_tokens = tokens.Tokens(entry.settings.operator_tokens)

    def add_routes(self, app):
        """Add the clients' routes to an application.

        Args:
          app: An aiohttp.web.Application.
        """
        app.router.add_post("/v1/tickets", self.tickets)
        app.router.add_post("/v1/jobs", self.submit)
        app.router.add_get("/v1/jobs/{id}", self.status)
        app.router.add_delete("/v1/jobs/{id}", self.cancel)

    async def tickets(self, request):
        """Issue tickets."""
        tenant = self._tenant_tokens.name_of(request)
        if tenant is None:
            return self._refusals.unauthorized()
        fields = await read_json(request, self._entry.settings.limits.max_body_bytes)
        count = fields.get("count", 1) if isinstance(fields, dict) else 0
        max_count = self._entry.limits.tickets_per_request
        if type(count) is not int or not 1 <= count <= max_count:
            bad_count = refusals.bad_request("count", f"give 1 to {max_count}")
            return self._refusals.refuse(bad_count, by=tenant)
        issued = self._entry.issuer.issue(count)
        if issued.is_err():
            return self._refusals.refuse(issued.err_value, by=tenant)
        texts = [issued_ticket.text for issued_ticket in issued.ok_value]
        window_ms = self._entry.limits.window_ms
        return web.json_response({"tickets": texts, "good_for_ms": window_ms})

    async def submit(self, request):
        """Submit a job; respond with its answer, or that it is still running."""
        start_ms = self._entry.clock.now_ms()
        tenant = self._tenant_tokens.name_of(request)
        if tenant is None:
            return self._refusals.unauthorized()
        max_bytes = self._entry.settings.limits.max_body_bytes
        body = await read_body(request, max_bytes)
        nbytes = len(body) * _DECODED_FACTOR
        if not self._entry.inbound.has_room(nbytes):
            return self._refusals.refuse(_no_memory_problem(), by=tenant)
        self._entry.inbound.accept(nbytes)
        try:
            parsed = intake.parse_submission(_decode(body), tenant, self._entry.limits)
            # Not kept beside the decoded job.
            del body
            return await self._submit(parsed, tenant, start_ms)
        finally:
            self._entry.inbound.accept(-nbytes)

    async def _submit(self, parsed, tenant, start_ms):
        if parsed.is_err():
            return self._refusals.refuse(*parsed.err_value, by=tenant)
        submission, wait_ms = parsed.ok_value
        ticket_result = self._parse_or_issue_ticket(submission)
        if ticket_result.is_err():
            return self._refusals.refuse(ticket_result.err_value, by=tenant)
        job_ticket = ticket_result.ok_value
        submission = dataclasses.replace(submission, ticket=job_ticket.text)
        answer = await self._entry.submit(submission, job_ticket, wait_ms)
        if answer.is_ok():
            self._count(submission, answer.ok_value, start_ms)
        return self._respond(job_ticket, answer, tenant)

    async def status(self, request):
        """Respond with the answer of a job, or that it is still running."""
        name, tenant = self._authenticate(request)
        if name is None:
            return self._refusals.unauthorized()
        job_ticket = ticket.parse(self._entry.cluster_key, request.match_info["id"])
        if job_ticket.is_err():
            return self._refusals.refuse(job_ticket.err_value, by=name)
        wait_ms = _read_wait(request.query.get("wait_ms", "0"))
        max_wait_ms = self._entry.limits.max_wait_ms
        if wait_ms is None or wait_ms > max_wait_ms:
            bad_wait = refusals.bad_request("wait_ms", f"give 0 to {max_wait_ms}")
            return self._refusals.refuse(bad_wait, by=name)
        answer = await self._entry.router.query(job_ticket.ok_value, tenant, wait_ms)
        return self._respond(job_ticket.ok_value, answer, name)

    async def cancel(self, request):
        """Cancel a job."""
        name, tenant = self._authenticate(request)
        if name is None:
            return self._refusals.unauthorized()
        job_ticket = ticket.parse(self._entry.cluster_key, request.match_info["id"])
        if job_ticket.is_err():
            return self._refusals.refuse(job_ticket.err_value, by=name)
        reason = f"by client of {name}" if tenant else f"by operator {name}"
        answer = await self._entry.router.cancel(job_ticket.ok_value, tenant, reason)
        return self._respond(job_ticket.ok_value, answer, name)

    def _authenticate(self, request):
        """Find the sender of a request for a job, and the tenant that must own the job.

        Returns:
          A pair: the name, a string, or None without a valid token; the tenant, a
          string, empty for an operator, who may access all jobs.
        """
        tenant = self._tenant_tokens.name_of(request)
        if tenant is not None:
            return tenant, tenant
        return self._operator_tokens.name_of(request), ""

    def _parse_or_issue_ticket(self, submission):
        """Parse the ticket of a submission, or issue one if it has none."""
        if submission.ticket:
            return ticket.parse(self._entry.cluster_key, submission.ticket)
        issued = self._entry.issuer.issue(1)
        return result.Ok(issued.ok_value[0]) if issued.is_ok() else issued

    def _count(self, submission, answer, start_ms):
        """Count an accepted submission, and its answer if the job has ended."""
        entry_metrics = self._entry.metrics
        entry_metrics.count(metrics.Counter.ACCEPTED, submission.tenant)
        if answer.state == job.State.RUNNING:
            return
        entry_metrics.count(metrics.Counter.ANSWERED, str(answer.state))
        duration_ms = self._entry.clock.now_ms() - start_ms
        entry_metrics.observe_latency(
            submission.tenant, str(submission.urgency), duration_ms
        )

    def _respond(self, job_ticket, answer, name):
        """Build the response for the Result of an Answer or of a Problem."""
        if answer.is_err():
            return self._refusals.refuse(
                answer.err_value, by=name, job=job_ticket.key, id=job_ticket.text
            )
        job_answer = answer.ok_value
        text = intake.render_answer(job_ticket.text, job_answer)
        status = 200 if job_answer.tasks else _STATUS_RUNNING
        headers = refusals.retry_headers(job_answer.retry_after_ms)
        return web.Response(
            text=text, status=status, headers=headers, content_type="application/json"
        )


async def read_json(request, max_bytes):
    """Read and decode the body of a request.

    Args:
      request: An aiohttp.web.Request.
      max_bytes: An integer, the largest body to read.

    Returns:
      A value decoded from JSON, or None if the body isn't valid JSON.

    Raises:
      HTTPRequestTimeout: The body did not arrive in time.
      HTTPRequestEntityTooLarge: The body is longer.
    """
    return _decode(await read_body(request, max_bytes))


async def read_body(request, max_bytes):
    """Read the body of a request; see `read_json`."""
    try:
        async with asyncio.timeout(clock.seconds(_BODY_TIMEOUT_MS)):
            return await http_body.read(request, max_bytes)
    except TimeoutError:
        raise web.HTTPRequestTimeout from None


def _decode(body):
    try:
        return json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        return None


def _no_memory_problem():
    return problem.Problem(
        kind=problem.Kind.OVERLOADED,
        message="the requests in progress take all the memory that is for them",
        remedy="try again later, or ask another entry",
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _refuse_constant(name):
    """Refuse NaN and the infinities, which are not valid JSON."""
    raise ValueError(name)


def _read_wait(text):
    """Parse a whole number; None if it is malformed or too long."""
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_WAIT_DIGITS
    return int(text) if is_number else None

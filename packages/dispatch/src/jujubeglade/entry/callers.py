"""The HTTP interface of the clients; docs/DESIGN.md, "Interfaces"."""

import asyncio
import dataclasses
import json

import result
from aiohttp import web

from jujubeglade.core import clock, job, metrics, ticket
from jujubeglade.entry import intake, refusals, tokens

_STATUS_RUNNING = 202
_MAX_DIGITS = 9
_BODY_MS = 10_000


class Callers:
    """The handlers of one entry for its clients."""

    def __init__(self, entry):
        """Serve for an entry.

        Args:
          entry: The Entry.
        """
        self._entry = entry
        self._refusals = entry.refusals
        self._tokens = tokens.Tokens(entry.settings.caller_tokens)
        self._operators = tokens.Tokens(entry.settings.operator_tokens)

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
        tenant = self._tokens.name_of(request)
        if tenant is None:
            return self._refusals.unauthorized()
        fields = await read_json(request)
        count = fields.get("count", 1) if isinstance(fields, dict) else 0
        most = self._entry.limits.tickets_per_request
        if type(count) is not int or not 1 <= count <= most:
            bad = refusals.bad_request("count", f"give 1 to {most}")
            return self._refusals.refuse(bad, by=tenant)
        issued = self._entry.issuer.issue(count)
        if issued.is_err():
            return self._refusals.refuse(issued.err_value, by=tenant)
        texts = [each.text for each in issued.ok_value]
        window_ms = self._entry.limits.window_ms
        return web.json_response({"tickets": texts, "good_for_ms": window_ms})

    async def submit(self, request):
        """Take a job and answer it, or say that it runs."""
        begun_ms = self._entry.clock.now_ms()
        tenant = self._tokens.name_of(request)
        if tenant is None:
            return self._refusals.unauthorized()
        fields = await read_json(request)
        parsed = intake.parse_submission(fields, tenant, self._entry.limits)
        if parsed.is_err():
            return self._refusals.refuse(*parsed.err_value, by=tenant)
        submission, wait_ms = parsed.ok_value
        taken = self._ticket(submission)
        if taken.is_err():
            return self._refusals.refuse(taken.err_value, by=tenant)
        held = taken.ok_value
        submission = dataclasses.replace(submission, ticket=held.text)
        answered = await self._entry.submit(submission, held, wait_ms)
        if answered.is_ok():
            self._count(submission, answered.ok_value, begun_ms)
        return self._respond(held, answered, tenant)

    async def status(self, request):
        """Answer for a job."""
        name, tenant = self._asker(request)
        if name is None:
            return self._refusals.unauthorized()
        held = ticket.parse(self._entry.cluster_key, request.match_info["id"])
        if held.is_err():
            return self._refusals.refuse(held.err_value, by=name)
        wait_ms = _read_wait(request.query.get("wait_ms", "0"))
        most = self._entry.limits.max_wait_ms
        if wait_ms is None or wait_ms > most:
            bad = refusals.bad_request("wait_ms", f"give 0 to {most}")
            return self._refusals.refuse(bad, by=name)
        answered = await self._entry.router.query(held.ok_value, tenant, wait_ms)
        return self._respond(held.ok_value, answered, name)

    async def cancel(self, request):
        """Cancel a job."""
        name, tenant = self._asker(request)
        if name is None:
            return self._refusals.unauthorized()
        held = ticket.parse(self._entry.cluster_key, request.match_info["id"])
        if held.is_err():
            return self._refusals.refuse(held.err_value, by=name)
        reason = f"by client of {name}" if tenant else f"by operator {name}"
        answered = await self._entry.router.cancel(held.ok_value, tenant, reason)
        return self._respond(held.ok_value, answered, name)

    def _asker(self, request):
        """Find who asks for a job, and the tenant whose job it must be.

        Returns:
          A pair of strings: the name, None for nobody; the tenant, empty for an
          operator, who may ask for all jobs.
        """
        tenant = self._tokens.name_of(request)
        if tenant is not None:
            return tenant, tenant
        return self._operators.name_of(request), ""

    def _ticket(self, submission):
        """Read the ticket of a submission, or issue one for a client without."""
        if submission.ticket:
            return ticket.parse(self._entry.cluster_key, submission.ticket)
        issued = self._entry.issuer.issue(1)
        return result.Ok(issued.ok_value[0]) if issued.is_ok() else issued

    def _count(self, submission, answer, begun_ms):
        """Count a submission that was taken, and its answer when there is one."""
        counts = self._entry.metrics
        counts.count(metrics.Counter.ACCEPTED, submission.tenant)
        if answer.state == job.State.RUNNING:
            return
        counts.count(metrics.Counter.ANSWERED, str(answer.state))
        duration_ms = self._entry.clock.now_ms() - begun_ms
        counts.observe_latency(submission.tenant, str(submission.urgency), duration_ms)

    def _respond(self, held, answered, tenant):
        if answered.is_err():
            return self._refusals.refuse(
                answered.err_value, by=tenant, job=held.key, id=held.text
            )
        answer = answered.ok_value
        text = intake.render_answer(held.text, answer)
        status = 200 if answer.tasks else _STATUS_RUNNING
        headers = refusals.retry_headers(answer.retry_after_ms)
        return web.Response(
            text=text, status=status, headers=headers, content_type="application/json"
        )


async def read_json(request):
    """Read the body of a request.

    Args:
      request: An aiohttp.web.Request.

    Returns:
      A value decoded from JSON, or None when it is none.

    Raises:
      HTTPRequestTimeout: The body did not come in time.
    """
    try:
        async with asyncio.timeout(clock.seconds(_BODY_MS)):
            body = await request.read()
    except TimeoutError:
        raise web.HTTPRequestTimeout from None
    try:
        return json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        return None


def _refuse_constant(name):
    """Refuse NaN and its like, which JSON does not have."""
    raise ValueError(name)


def _read_wait(text):
    """Read a whole number; None when it is none."""
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if is_number else None

"""The HTTP interface of the clients; docs/DESIGN.md, "Interfaces"."""

import json

from aiohttp import web

from jujubeglade.core import problem, ticket
from jujubeglade.entry import intake, tokens

_STATUS = {
    problem.Kind.BAD_REQUEST: 400,
    problem.Kind.BAD_TICKET: 400,
    problem.Kind.NEVER_RUNNABLE: 422,
    problem.Kind.UNAUTHORIZED: 401,
    problem.Kind.TOO_LARGE: 413,
    problem.Kind.WINDOW_PASSED: 410,
    problem.Kind.UNKNOWN_JOB: 404,
    problem.Kind.OVERLOADED: 429,
    problem.Kind.QUOTA: 429,
    problem.Kind.DEADLINE: 429,
    problem.Kind.CONFLICT: 409,
    problem.Kind.SYNTAX: 400,
}
_STATUS_UNAVAILABLE = 503
_STATUS_RUNNING = 202
_MILLISECONDS_PER_SECOND = 1000


class Callers:
    """The handlers of one entry for its clients."""

    def __init__(self, entry):
        """Serve for an entry.

        Args:
          entry: The Entry.
        """
        self._entry = entry
        self._tokens = tokens.Tokens(entry.settings.caller_tokens)

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
            return unauthorized()
        fields = await read_json(request)
        count = fields.get("count", 1) if isinstance(fields, dict) else 0
        most = self._entry.settings.limits.tickets_per_request
        if type(count) is not int or not 1 <= count <= most:
            return refuse(bad_request("count", f"give 1 to {most}"))
        issued = self._entry.issuer.issue(count)
        if issued.is_err():
            return refuse(issued.err_value)
        texts = [each.text for each in issued.ok_value]
        window_ms = self._entry.settings.limits.window_ms
        return web.json_response({"tickets": texts, "good_for_ms": window_ms})

    async def submit(self, request):
        """Take a job and answer it, or say that it runs."""
        tenant = self._tokens.name_of(request)
        if tenant is None:
            return unauthorized()
        fields = await read_json(request)
        limits = self._entry.settings.limits
        parsed = intake.parse_submission(fields, tenant, limits)
        if parsed.is_err():
            return refuse(*parsed.err_value)
        submission, wait_ms = parsed.ok_value
        held = ticket.parse(self._entry.cluster_key, submission.ticket)
        if held.is_err():
            return refuse(held.err_value)
        answered = await self._entry.submit(submission, held.ok_value, wait_ms)
        return self._respond(held.ok_value, answered)

    async def status(self, request):
        """Answer for a job."""
        held = self._held(request)
        if isinstance(held, web.Response):
            return held
        wait_text = request.query.get("wait_ms", "0")
        most = self._entry.settings.limits.max_wait_ms
        if not wait_text.isdigit() or int(wait_text) > most:
            return refuse(bad_request("wait_ms", f"give 0 to {most}"))
        answered = await self._entry.router.query(held, int(wait_text))
        return self._respond(held, answered)

    async def cancel(self, request):
        """Cancel a job."""
        held = self._held(request)
        if isinstance(held, web.Response):
            return held
        tenant = self._tokens.name_of(request)
        answered = await self._entry.router.cancel(held, f"by client of {tenant}")
        return self._respond(held, answered)

    def _held(self, request):
        if self._tokens.name_of(request) is None:
            return unauthorized()
        held = ticket.parse(self._entry.cluster_key, request.match_info["id"])
        return refuse(held.err_value) if held.is_err() else held.ok_value

    def _respond(self, held, answered):
        if answered.is_err():
            return refuse(answered.err_value)
        answer = answered.ok_value
        text = intake.render_answer(held.text, answer)
        status = 200 if answer.tasks else _STATUS_RUNNING
        headers = retry_headers(answer.retry_after_ms)
        return web.Response(
            text=text, status=status, headers=headers, content_type="application/json"
        )


async def read_json(request):
    """Read the body of a request.

    Args:
      request: An aiohttp.web.Request.

    Returns:
      A value decoded from JSON, or None when it is none.
    """
    try:
        return json.loads(await request.read())
    except (ValueError, RecursionError):
        return None


def refuse(*problems):
    """Answer a request by problems.

    Args:
      *problems: Problems; the first one speaks for the request.

    Returns:
      An aiohttp.web.Response.
    """
    first = problems[0]
    status = _STATUS.get(first.kind, _STATUS_UNAVAILABLE)
    rendered = intake.render_problems(problems)
    headers = retry_headers(first.retry_after_ms)
    return web.json_response(rendered, status=status, headers=headers)


def unauthorized():
    """Answer a request without a valid token.

    Returns:
      An aiohttp.web.Response.
    """
    return refuse(
        problem.Problem(
            kind=problem.Kind.UNAUTHORIZED,
            message="the bearer token is not known",
            remedy="send Authorization: Bearer TOKEN with a token of the settings",
        )
    )


def bad_request(place, remedy):
    """Make the problem of a bad field.

    Args:
      place: A string, the field.
      remedy: A string.

    Returns:
      A Problem.
    """
    return problem.Problem(
        kind=problem.Kind.BAD_REQUEST,
        message=f"{place} is out of range or malformed",
        remedy=remedy,
        place=place,
    )


def retry_headers(retry_after_ms):
    """Render when to come back; HTTP counts in whole seconds.

    Args:
      retry_after_ms: An integer; 0 means do not.

    Returns:
      A dict of headers.
    """
    if retry_after_ms <= 0:
        return {}
    return {"Retry-After": str(-(-retry_after_ms // _MILLISECONDS_PER_SECOND))}

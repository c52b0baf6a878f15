"""How an entry refuses requests.

Every refusal gets an id, which is in the answer, in the records and in the log, so
that `why refusal ID` tells what was refused to whom:

    {"refusal": "19ae52c3f01-5be2a90c", "kind": "quota", "message": ..., "remedy": ...,
     "place": "", "outcome": "not_run", "retry_after_ms": 200}

Requests without a valid token are counted only: whoever sends them could fill the
records with them.
"""

import secrets

from aiohttp import web

from jujubeglade.core import journal, log, metrics, problem

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
    problem.Kind.INTERNAL: 500,
}
_STATUS_UNAVAILABLE = 503
_MILLISECONDS_PER_SECOND = 1000
_ID_BYTES = 4
_MAX_CHARACTERS = 500
_MAX_OTHERS = 20

_log = log.get(__name__)


class Refusals:
    """Refuses requests on behalf of one entry."""

    __slots__ = ("_clock", "_journal", "_metrics")

    def __init__(self, clock, records, counts):
        """Start without refusals.

        Args:
          clock: A Clock.
          records: The Journal of the entry.
          counts: A Metrics.
        """
        self._clock = clock
        self._journal = records
        self._metrics = counts

    def refuse(self, *problems, by="", job="", **fields):
        """Answer a request by problems.

        Args:
          *problems: Problems; the first one speaks for the request.
          by: A string, the tenant or operator.
          job: A string, the job key; empty when none is known.
          **fields: Further fields of the answer.

        Returns:
          An aiohttp.web.Response.
        """
        first = problems[0]
        self._metrics.count(metrics.Counter.REFUSED, str(first.kind))
        if first.kind is not problem.Kind.UNAUTHORIZED:
            fields["refusal"] = self._record(first, by, job)
        return web.json_response(
            fields | render(problems),
            status=_STATUS.get(first.kind, _STATUS_UNAVAILABLE),
            headers=retry_headers(first.retry_after_ms),
        )

    def unauthorized(self):
        """Answer a request without a valid token.

        Returns:
          An aiohttp.web.Response.
        """
        return self.refuse(
            problem.Problem(
                kind=problem.Kind.UNAUTHORIZED,
                message="the bearer token is not known",
                remedy="send Authorization: Bearer TOKEN with a token of the settings",
                outcome=problem.Outcome.REQUEST_NOT_RUN,
            )
        )

    def _record(self, first, by, job):
        """Record a refusal; return its id."""
        refusal = f"{self._clock.wall_ms():x}-{secrets.token_hex(_ID_BYTES)}"
        facts = {
            "problem": str(first.kind),
            "outcome": str(first.outcome),
            "reason": _shortened(str(first)),
        }
        if by:
            facts["by"] = by
        if job:
            facts["job"] = job
        self._journal.record(journal.Kind.REFUSED, refusal, **facts)
        _log.debug("request refused", refusal=refusal, **facts)
        return refusal


def render(problems):
    """Render problems as the client reads them.

    Args:
      problems: A sequence of Problems; the first one speaks for the request.

    Returns:
      A dict for JSON.
    """
    first = problems[0]
    rendered = {
        "kind": first.kind,
        "message": _shortened(first.message),
        "remedy": first.remedy,
        "place": _shortened(first.place),
        "outcome": first.outcome,
        "retry_after_ms": first.retry_after_ms,
    }
    others = problems[1 : _MAX_OTHERS + 1]
    if others:
        rendered["others"] = [_shortened(str(each)) for each in others]
    return rendered


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


def _shortened(text):
    """Bound a text that may repeat what the client sent."""
    if len(text) <= _MAX_CHARACTERS:
        return text
    return f"{text[:_MAX_CHARACTERS]}..."

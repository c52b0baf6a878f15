"""The responses by which an entry refuses requests.

Every refusal has an id, which is in the response, in the audit records and in the log,
so that `why refusal ID` shows whose request was refused and why:

    {"refusal": "19ae52c3f01-5be2a90c", "kind": "quota", "message": ..., "remedy": ...,
     "place": "", "outcome": "not_run", "retry_after_ms": 200}

Requests without a valid token are only counted, since anyone could fill the audit
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
_MAX_TEXT_CHARACTERS = 500
_MAX_OTHER_PROBLEMS = 20

_log = log.get(__name__)


class Refusals:
    """Refuses requests at one entry, with records and metrics of the refusals."""

    __slots__ = ("_clock", "_journal", "_metrics")

    def __init__(self, clock, entry_journal, entry_metrics):
        """Create the refusals of an entry.

        Args:
          clock: A Clock.
          entry_journal: The Journal of the entry.
          entry_metrics: A Metrics.
        """
        self._clock = clock
        self._journal = entry_journal
        self._metrics = entry_metrics

    def refuse(self, *problems, by="", job="", **fields):
        """Build the response for a refused request.

        Args:
          *problems: Problems; the first one determines the status.
          by: A string, the tenant or operator.
          job: A string, the job key; empty if the request names no job.
          **fields: Further fields of the response.

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
        """Build the response for a request without a valid token.

        Returns:
          An aiohttp.web.Response.
        """
        return self.refuse(
            problem.Problem(
                kind=problem.Kind.UNAUTHORIZED,
                message="the bearer token is missing or unknown",
                remedy="send Authorization: Bearer TOKEN with a token of the settings",
                outcome=problem.Outcome.REQUEST_NOT_RUN,
            )
        )

    def _record(self, first, by, job):
        """Record a refusal in the journal and the log; return its id."""
        refusal = f"{self._clock.wall_ms():x}-{secrets.token_hex(_ID_BYTES)}"
        facts = {
            "problem": str(first.kind),
            "outcome": str(first.outcome),
            "reason": _truncate(str(first)),
        }
        if by:
            facts["by"] = by
        if job:
            facts["job"] = job
        self._journal.record(journal.Kind.REFUSED, refusal, **facts)
        _log.debug("request refused", refusal=refusal, **facts)
        return refusal


def render(problems):
    """Render problems as the fields of a response.

    Args:
      problems: A sequence of Problems; the first one is rendered in full.

    Returns:
      A dict for JSON.
    """
    first = problems[0]
    fields = {
        "kind": first.kind,
        "message": _truncate(first.message),
        "remedy": first.remedy,
        "place": _truncate(first.place),
        "outcome": first.outcome,
        "retry_after_ms": first.retry_after_ms,
    }
    others = problems[1 : _MAX_OTHER_PROBLEMS + 1]
    if others:
        fields["others"] = [_truncate(str(other)) for other in others]
    return fields


def bad_request(place, remedy):
    """Build the problem for an invalid field.

    Args:
      place: A string, the field.
      remedy: A string, what to send instead.

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
    """Build the header that tells when to retry, in whole seconds as HTTP requires.

    Args:
      retry_after_ms: An integer; 0 means don't retry.

    Returns:
      A dict of headers.
    """
    if retry_after_ms <= 0:
        return {}
    return {"Retry-After": str(-(-retry_after_ms // _MILLISECONDS_PER_SECOND))}


def _truncate(text):
    """Limit the length of a text that may contain what the client sent."""
    if len(text) <= _MAX_TEXT_CHARACTERS:
        return text
    return f"{text[:_MAX_TEXT_CHARACTERS]}..."

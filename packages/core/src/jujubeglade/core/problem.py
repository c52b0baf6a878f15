"""Problems: typed errors that state their remedy.

A problem is a record, returned in a `result.Err` and shown to the user or operator
who can act on it. All kinds are listed in `Kind`, so that the reader of a refusal,
a log line or an audit record can look them up.

| outcome           | meaning for the submission that the request names          |
|-------------------|------------------------------------------------------------|
| `not_run`         | nothing of the submission has started, nor can it          |
| `request_not_run` | this request started nothing; an earlier one may have      |
| `unknown`         | whether an earlier request started anything is unknown     |
"""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """What went wrong."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    TOO_LARGE = "too_large"
    BAD_TICKET = "bad_ticket"
    WINDOW_PASSED = "window_passed"
    NO_WORKER = "no_worker"
    NEVER_RUNNABLE = "never_runnable"
    OVERLOADED = "overloaded"
    QUOTA = "quota"
    DEADLINE = "deadline"
    HOME_LOST = "home_lost"
    SHUTTING_DOWN = "shutting_down"
    UNKNOWN_JOB = "unknown_job"
    CANCELLED = "cancelled"
    UPSTREAM_ERROR = "upstream_error"
    STORE = "store"
    CONFLICT = "conflict"
    SYNTAX = "syntax"
    SETTINGS = "settings"
    FRAME = "frame"
    UNREACHABLE = "unreachable"
    INTERNAL = "internal"


class Outcome(enum.StrEnum):
    """Whether a refused submission may have started; see the module's table."""

    NOT_RUN = "not_run"
    REQUEST_NOT_RUN = "request_not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One error, shown to the user.

    Attributes:
      kind: A Kind.
      message: A string, what happened.
      remedy: A string, what to do about it.
      place: A string, the field, file, column or peer concerned; may be empty.
      outcome: An Outcome.
      retry_after_ms: An integer, when to retry; 0 means not to retry.
    """

    kind: Kind
    message: str
    remedy: str
    place: str = ""
    outcome: Outcome = Outcome.REQUEST_NOT_RUN
    retry_after_ms: int = 0

    def __str__(self):
        """Render the problem on one line."""
        place = f"{self.place}: " if self.place else ""
        return f"{place}{self.message} [{self.kind}]; {self.remedy}"

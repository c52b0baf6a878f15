"""The judge: compares the starts that upstreams logged with the callers' answers.

Upstreams log every start and callers keep every answer. Each disagreement is a
finding:

| kind             | what was found                                              |
|------------------|-------------------------------------------------------------|
| `double`         | a non-repeatable task started twice                         |
| `restarted`      | a repeatable task started again with no fault to explain it |
| `partial`        | a complete answer without the result of every task          |
| `wrong_value`    | a result that belongs to another task or request            |
| `false_not_run`  | a task answered as `not_run` that started                   |
| `never_started`  | a task of a complete answer that no upstream started        |
| `late_in_drain`  | a start in a zone out of service for more than 5 s          |
| `late_at_leaver` | a start at an upstream that job to leave over 5 s before  |
| `lost`           | a job that was never answered                               |

    judge.examine(judge.Evidence(starts, jobs, answers, drains))    # a list of Findings
"""

import collections
import dataclasses
import enum

#: How long after a drain or a leave was answered tasks may still start there.
LATE_START_MS = 5000


class Kind(enum.StrEnum):
    """The kinds of findings; see the module's table."""

    DOUBLE = "double"
    RESTARTED = "restarted"
    PARTIAL = "partial"
    WRONG_VALUE = "wrong_value"
    FALSE_NOT_RUN = "false_not_run"
    NEVER_STARTED = "never_started"
    LATE_IN_DRAIN = "late_in_drain"
    LATE_AT_LEAVER = "late_at_leaver"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class SubmittedJob:
    """A job that a caller submitted.

    Attributes:
      key: A string, the job key.
      values: A tuple of integers, the value that each task must answer.
      repeatable: A boolean, of all its tasks.
    """

    key: str
    values: tuple[int, ...]
    repeatable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer or refusal that a caller received.

    Attributes:
      key: A string, the job key.
      state: A string: `running`, `complete`, `failed` or `refused`.
      outcomes: A tuple of strings, the outcome of each task; for a refusal only one,
        that of the request.
      values: A tuple, the value of each task's result or None.
    """

    key: str
    state: str
    outcomes: tuple[str, ...] = ()
    values: tuple[int | None, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Absence:
    """A period in which a zone or an upstream should start no tasks.

    Attributes:
      name: A string, of the zone or the upstream.
      begin_ms: An integer, the wall clock when the drain or leave was answered.
      end_ms: An integer, the wall clock just before the return was requested.
    """

    name: str
    begin_ms: int
    end_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What the judge compares.

    Attributes:
      starts: A sequence of upstream.Started.
      jobs: A sequence of SubmittedJobs.
      answers: A sequence of Answers.
      drains: A sequence of Absences of zones.
      leaves: A sequence of Absences of upstreams.
      forbid_restarts: A boolean, whether a repeatable task that started again is a
        finding, as no fault explains it.
    """

    starts: tuple
    jobs: tuple
    answers: tuple
    drains: tuple = ()
    leaves: tuple = ()
    forbid_restarts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One violated guarantee.

    Attributes:
      kind: A Kind.
      key: A string, the job key.
      index: An integer, the task's place, or -1 for the whole job.
    """

    kind: Kind
    key: str
    index: int = -1


def examine(evidence):
    """Find violated guarantees.

    Args:
      evidence: An Evidence.

    Returns:
      A list of distinct Findings, ordered by kind, job key and task.
    """
    starts = collections.Counter((start.key, start.index) for start in evidence.starts)
    findings = set()
    for job in evidence.jobs:
        answers = [answer for answer in evidence.answers if answer.key == job.key]
        findings.update(_check_starts(job, starts, evidence.forbid_restarts))
        findings.update(_check_answers(job, answers, starts))
    findings.update(_check_absences(evidence.starts, evidence.drains, evidence.leaves))
    order = list(Kind)
    return sorted(
        findings,
        key=lambda finding: (order.index(finding.kind), finding.key, finding.index),
    )


def _check_starts(job, starts, forbid_restarts):
    for index in range(len(job.values)):
        if starts[job.key, index] < 2:
            continue
        if not job.repeatable:
            yield Finding(Kind.DOUBLE, job.key, index)
        elif forbid_restarts:
            yield Finding(Kind.RESTARTED, job.key, index)


def _check_answers(job, answers, starts):
    for answer in answers:
        if answer.state == "complete":
            yield from _check_complete(job, answer, starts)
        elif answer.state == "failed":
            yield from _check_failed(job, answer, starts)
        elif answer.state == "refused" and answer.outcomes == ("not_run",):
            yield from _check_not_run(job, range(len(job.values)), starts)
    if not any(answer.state in ("complete", "failed") for answer in answers):
        yield Finding(Kind.LOST, job.key)


def _check_complete(job, answer, starts):
    all_ran = ("ran",) * len(job.values)
    if answer.outcomes != all_ran or len(answer.values) != len(all_ran):
        yield Finding(Kind.PARTIAL, job.key)
        return
    for index, value in enumerate(answer.values):
        if value != job.values[index]:
            yield Finding(Kind.WRONG_VALUE, job.key, index)
        if not starts[job.key, index]:
            yield Finding(Kind.NEVER_STARTED, job.key, index)


def _check_failed(job, answer, starts):
    if len(answer.outcomes) != len(job.values):
        yield Finding(Kind.PARTIAL, job.key)
    not_run = [
        index for index, outcome in enumerate(answer.outcomes) if outcome == "not_run"
    ]
    yield from _check_not_run(job, not_run, starts)
    for index, value in enumerate(answer.values):
        if value is not None and value != job.values[index]:
            yield Finding(Kind.WRONG_VALUE, job.key, index)


def _check_not_run(job, indexes, starts):
    for index in indexes:
        if starts[job.key, index]:
            yield Finding(Kind.FALSE_NOT_RUN, job.key, index)


def _check_absences(starts, drains, leaves):
    for start in starts:
        if _is_late(start.zone, start.wall_ms, drains):
            yield Finding(Kind.LATE_IN_DRAIN, start.key, start.index)
        if _is_late(start.name, start.wall_ms, leaves):
            yield Finding(Kind.LATE_AT_LEAVER, start.key, start.index)


def _is_late(name, wall_ms, absences):
    return any(
        absence.name == name
        and absence.begin_ms + LATE_START_MS < wall_ms < absence.end_ms
        for absence in absences
    )

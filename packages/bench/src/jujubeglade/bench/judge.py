"""The judge: sets what upstreams saw against what callers were told.

Upstreams write down every start; callers write down every answer. What does not
agree is a finding:

| kind             | what was found                                              |
|------------------|-------------------------------------------------------------|
| `double`         | a task that may not be repeated started twice               |
| `restarted`      | a repeatable task started again with no fault to explain it |
| `partial`        | a complete answer without the result of every task          |
| `wrong_value`    | a result that belongs to another task or request            |
| `false_not_run`  | `not_run` was said of a task that started                   |
| `never_started`  | a task of a complete answer that no upstream started        |
| `late_in_drain`  | a start in a zone out of service for more than 5 s          |
| `late_at_leaver` | a start at an upstream that has been leaving for over 5 s   |
| `lost`           | a job that was never answered                               |

    judge.examine(judge.Evidence(starts, jobs, answers, drains))    # a list of Findings
"""

import collections
import dataclasses
import enum

LATE_MS = 5000


class Kind(enum.StrEnum):
    """What was found; see the module's table."""

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
    """A job that a caller wants done.

    Attributes:
      key: A string, the job key.
      values: A tuple of integers, the value that each task shall answer.
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
      outcomes: A tuple of strings, the outcome of each task; of a refusal, its own.
      values: A tuple, the value of each task's result or None.
    """

    key: str
    state: str
    outcomes: tuple[str, ...] = ()
    values: tuple[int | None, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Absence:
    """A time in which a zone or an upstream took no new work.

    Attributes:
      name: A string, of the zone or the upstream.
      begin_ms: An integer, the wall clock when the order was answered.
      end_ms: An integer, the wall clock when the way back was first asked for.
    """

    name: str
    begin_ms: int
    end_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """All that the judge looks at.

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
    """One promise that was not kept.

    Attributes:
      kind: A Kind.
      key: A string, the job key.
      index: An integer, the task's place, or -1 for the whole job.
    """

    kind: Kind
    key: str
    index: int = -1


def examine(evidence):
    """Look for promises that were not kept.

    Args:
      evidence: An Evidence.

    Returns:
      A list of Findings, each one once, in the order of their kinds.
    """
    starts = collections.Counter((each.key, each.index) for each in evidence.starts)
    found = set()
    for asked in evidence.jobs:
        told = [each for each in evidence.answers if each.key == asked.key]
        found.update(_starts(asked, starts, evidence.forbid_restarts))
        found.update(_answers(asked, told, starts))
    found.update(_late(evidence.starts, evidence.drains, evidence.leaves))
    order = list(Kind)
    return sorted(
        found, key=lambda each: (order.index(each.kind), each.key, each.index)
    )


def _starts(asked, starts, calm):
    for index in range(len(asked.values)):
        if starts[asked.key, index] < 2:
            continue
        if not asked.repeatable:
            yield Finding(Kind.DOUBLE, asked.key, index)
        elif calm:
            yield Finding(Kind.RESTARTED, asked.key, index)


def _answers(asked, told, starts):
    for each in told:
        if each.state == "complete":
            yield from _complete(asked, each, starts)
        elif each.state == "failed":
            yield from _failed(asked, each, starts)
        elif each.state == "refused" and each.outcomes == ("not_run",):
            yield from _not_run(asked, range(len(asked.values)), starts)
    if not any(each.state in ("complete", "failed") for each in told):
        yield Finding(Kind.LOST, asked.key)


def _complete(asked, told, starts):
    whole = ("ran",) * len(asked.values)
    if told.outcomes != whole or len(told.values) != len(whole):
        yield Finding(Kind.PARTIAL, asked.key)
        return
    for index, value in enumerate(told.values):
        if value != asked.values[index]:
            yield Finding(Kind.WRONG_VALUE, asked.key, index)
        if not starts[asked.key, index]:
            yield Finding(Kind.NEVER_STARTED, asked.key, index)


def _failed(asked, told, starts):
    if len(told.outcomes) != len(asked.values):
        yield Finding(Kind.PARTIAL, asked.key)
    unstarted = [i for i, each in enumerate(told.outcomes) if each == "not_run"]
    yield from _not_run(asked, unstarted, starts)
    for index, value in enumerate(told.values):
        if value is not None and value != asked.values[index]:
            yield Finding(Kind.WRONG_VALUE, asked.key, index)


def _not_run(asked, indexes, starts):
    for index in indexes:
        if starts[asked.key, index]:
            yield Finding(Kind.FALSE_NOT_RUN, asked.key, index)


def _late(starts, drains, leaves):
    for each in starts:
        if _is_late(each.zone, each.wall_ms, drains):
            yield Finding(Kind.LATE_IN_DRAIN, each.key, each.index)
        if _is_late(each.name, each.wall_ms, leaves):
            yield Finding(Kind.LATE_AT_LEAVER, each.key, each.index)


def _is_late(name, wall_ms, absences):
    return any(
        each.name == name and each.begin_ms + LATE_MS < wall_ms < each.end_ms
        for each in absences
    )

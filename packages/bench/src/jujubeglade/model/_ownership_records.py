"""The records of the specification `ownership`, and the steps that change them."""

import dataclasses
import typing

NOT_RUN = "not_run"
MAY_HAVE_RUN = "may_have_run"
RAN = "ran"
RAN_AND_FAILED = "ran, with an error"

IDLE = "idle"
ACTIVE = "active"
CLOSING = "closing"
OVER = "over"

ACCEPTED = "accepted"
STARTED = "started"
FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      tombstones: An attempt that was refused is never started later.
      accepts_once: An executor accepts a task that may not be repeated only once.
      needs_all_answers: A successor places the task only after every candidate has
        answered its claim.
      raises_fence: A claim raises the fence of the candidate that answers it.
      checks_fence: A candidate refuses attempts of a generation below its fence.
      close_checks_fence: A candidate refuses a close of a generation below its fence.
      rejects_other_incarnation: A restarted agent refuses requests for its earlier
        incarnation.
      resolves_attempts: An owner places the next attempt only once the earlier ones
        were refused or have failed.
      home_places_elsewhere: The home never places the task on its own worker.
      successor_places_elsewhere: A successor never places it on its own worker.
      closes_before_not_run: An owner answers `not_run` only once a candidate has closed
        the job.
      reports_failures: The answer to a claim reports an attempt that ran and failed.
      obeys_close: A candidate that closed the job starts nothing, and its answers to
        claims report the close.
    """

    tombstones: bool = True
    accepts_once: bool = True
    needs_all_answers: bool = True
    raises_fence: bool = True
    checks_fence: bool = True
    close_checks_fence: bool = True
    rejects_other_incarnation: bool = True
    resolves_attempts: bool = True
    home_places_elsewhere: bool = True
    successor_places_elsewhere: bool = True
    closes_before_not_run: bool = True
    reports_failures: bool = True
    obeys_close: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      candidates: The number of candidates.
      attempts: The number of attempts that each generation may make; its length is the
        number of owners.
      crashes: The number of crashes that may happen.
      repeatable: Whether the task may be placed again after an attempt that failed.
    """

    candidates: int
    attempts: tuple
    crashes: int
    repeatable: bool = False


class Attempt(typing.NamedTuple):
    """One attempt of the task; each generation counts its attempts from 1."""

    generation: int
    number: int


class Executor(typing.NamedTuple):
    """The state of the job at a candidate.

    `attempt` is the attempt that it accepted, `phase` the progress of that attempt, and
    `never_to_start` are the attempts that it promised never to start.
    """

    fence: int = 0
    closed: bool = False
    attempt: Attempt | None = None
    phase: str = ""
    never_to_start: frozenset = frozenset()
    failed: bool = False


class Owner(typing.NamedTuple):
    """An owner; `placed` has the candidates of its attempts, in order."""

    phase: str = IDLE
    placed: tuple = ()


class State(typing.NamedTuple):
    """The whole system.

    `starts` counts the starts that have not failed, up to 2, and `started_attempts` has
    all attempts that started.
    """

    executors: tuple
    owners: tuple
    messages: frozenset
    answers: frozenset
    starts: int
    started_attempts: frozenset
    finished: bool
    crashes: int
    failures_ended: bool


class Place(typing.NamedTuple):
    """An owner asks a candidate to start an attempt."""

    attempt: Attempt
    candidate: int
    kind: str = "place"


class Refused(typing.NamedTuple):
    """A candidate promises that it never starts an attempt."""

    attempt: Attempt
    kind: str = "refused"


class Finished(typing.NamedTuple):
    """The result of the task, which any owner may receive."""

    attempt: Attempt
    kind: str = "finished"


class Failed(typing.NamedTuple):
    """An attempt of a repeatable task ran and failed; it is not started again."""

    attempt: Attempt
    kind: str = "failed"


class Claim(typing.NamedTuple):
    """A successor asks every candidate for its state, and raises its fence."""

    generation: int
    kind: str = "claim"


class Claimed(typing.NamedTuple):
    """A candidate answers a claim; `attempt` is the one that it accepted."""

    generation: int
    candidate: int
    attempt: Attempt | None
    closed: bool
    failed: bool
    kind: str = "claimed"


class Close(typing.NamedTuple):
    """An owner asks candidates to start nothing more of the job."""

    generation: int
    kind: str = "close"


class Closed(typing.NamedTuple):
    """A candidate has closed the job for this generation."""

    generation: int
    candidate: int
    kind: str = "closed"


class Fenced(typing.NamedTuple):
    """A candidate notifies an owner that a later generation exists."""

    generation: int
    kind: str = "fenced"


_REPLIES = (Claimed, Closed, Fenced)


def attempt_name(attempt):
    return f"a{attempt.generation}.{attempt.number}"


def send(state, message):
    """Add a message, unless it is a reply to an owner that has ended."""
    if message in state.messages:
        return state
    if type(message) in _REPLIES and state.owners[message.generation].phase == OVER:
        return state
    return state._replace(messages=state.messages | {message})


def with_owner(state, generation, owner):
    owners = state.owners
    changed = (*owners[:generation], owner, *owners[generation + 1 :])
    return state._replace(owners=changed)


def with_executor(state, candidate, executor):
    executors = state.executors
    changed = (*executors[:candidate], executor, *executors[candidate + 1 :])
    return state._replace(executors=changed)


def answer(state, generation, outcome):
    """Record the final answer of an owner, and end the owner."""
    answered = state._replace(answers=state.answers | {outcome})
    return end_owner(answered, generation)


def end_owner(state, generation):
    """End an owner, and drop the replies to it, which no other owner reads."""
    messages = frozenset(
        message
        for message in state.messages
        if type(message) not in _REPLIES or message.generation != generation
    )
    state = state._replace(messages=messages)
    return with_owner(state, generation, Owner(phase=OVER))


def record_start(state, attempt):
    """Count a start; a second start of the same attempt counts as one too many."""
    starts = 2 if attempt in state.started_attempts else min(2, state.starts + 1)
    return state._replace(
        starts=starts, started_attempts=state.started_attempts | {attempt}
    )

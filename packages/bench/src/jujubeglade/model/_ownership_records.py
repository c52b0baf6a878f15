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
      tombstones: A refused or denied attempt is never started later.
      accept_once: A task that may not be repeated is accepted once by an executor.
      needs_all: A successor starts only after every candidate has answered.
      raises_fence: A claim raises the fence of the candidate that answers it.
      checks_fence: A candidate refuses places of a generation below its fence.
      close_checks_fence: A candidate refuses a close below its fence.
      forgets_incarnation: A restarted agent refuses frames for its former life.
      resolves_attempts: The next attempt waits for the refusal of the former.
      home_places_elsewhere: The home never starts a task on its own machine.
      successor_places_elsewhere: A successor never does so either.
      closes_before_not_run: An owner closes the job somewhere before `not_run`.
      reports_failures: An answer to a claim tells of attempts that ran and failed.
      close_is_obeyed: A closed candidate starts nothing and says so to a claim.
    """

    tombstones: bool = True
    accept_once: bool = True
    needs_all: bool = True
    raises_fence: bool = True
    checks_fence: bool = True
    close_checks_fence: bool = True
    forgets_incarnation: bool = True
    resolves_attempts: bool = True
    home_places_elsewhere: bool = True
    successor_places_elsewhere: bool = True
    closes_before_not_run: bool = True
    reports_failures: bool = True
    close_is_obeyed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      candidates: The number of candidates.
      attempts: The attempts that each generation may make; its length is the number
        of owners.
      crashes: The number of processes that may crash.
      repeatable: Whether the task may be placed again after an attempt that failed.
    """

    candidates: int
    attempts: tuple
    crashes: int
    repeatable: bool = False


class Attempt(typing.NamedTuple):
    """One try of the task; generations number their attempts apart."""

    generation: int
    number: int


class Executor(typing.NamedTuple):
    """What a candidate remembers of the job."""

    fence: int = 0
    closed: bool = False
    held: Attempt | None = None
    phase: str = ""
    promised: frozenset = frozenset()
    failed: bool = False


class Owner(typing.NamedTuple):
    """One generation: its phase and the candidates that its attempts went to."""

    phase: str = IDLE
    placed: tuple = ()


class State(typing.NamedTuple):
    """The whole system.

    `starts` counts the starts that have not failed, and `begun` keeps every start.
    """

    executors: tuple
    owners: tuple
    messages: frozenset
    answers: frozenset
    starts: int
    begun: frozenset
    finished: bool
    crashes: int
    calm: bool


class Place(typing.NamedTuple):
    """An owner asks a candidate to start an attempt."""

    attempt: Attempt
    candidate: int
    kind: str = "place"


class Refused(typing.NamedTuple):
    """The promise that an attempt never starts."""

    attempt: Attempt
    kind: str = "refused"


class Finished(typing.NamedTuple):
    """The result of the task; it goes to whichever owner asks."""

    attempt: Attempt
    kind: str = "finished"


class Failed(typing.NamedTuple):
    """An attempt of a repeatable task ran, failed and will not be started again."""

    attempt: Attempt
    kind: str = "failed"


class Claim(typing.NamedTuple):
    """A successor asks every candidate, raising its fence."""

    generation: int
    kind: str = "claim"


class Claimed(typing.NamedTuple):
    """A candidate's answer to a claim."""

    generation: int
    candidate: int
    held: Attempt | None
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
    """A candidate told an owner that a later generation exists."""

    generation: int
    kind: str = "fenced"


_REPLIES = (Claimed, Closed, Fenced)


def name(attempt):
    return f"a{attempt.generation}.{attempt.number}"


def send(state, message):
    """Add a message, but for a reply that nobody is left to read."""
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
    """Record a final answer; `may_have_run` is always true and only ends a wait."""
    answered = state._replace(answers=state.answers | {outcome})
    return end_owner(answered, generation)


def end_owner(state, generation):
    """End an owner, and drop the replies that nobody will read."""
    messages = frozenset(
        message
        for message in state.messages
        if type(message) not in _REPLIES or message.generation != generation
    )
    state = state._replace(messages=messages)
    return with_owner(state, generation, Owner(phase=OVER))


def begin(state, attempt):
    """Count a start; the same attempt once more is one too many."""
    starts = 2 if attempt in state.begun else min(2, state.starts + 1)
    return state._replace(starts=starts, begun=state.begun | {attempt})

"""The contract between the owner of a job and the executors of its tasks.

The owner sends `Start`; the executor answers each task with one `Finished` or
one `Rejected`. A reject is a promise: that attempt never starts. `Stop` cancels one
attempt whose task already has its result. `Claim` and
`Close` are questions; both raise the executor's fence to the generation that
asks. docs/DESIGN.md, "At most once", gives the rules.
"""

import enum

from jujubeglade.core import job, message


class Reject(enum.StrEnum):
    """Why an executor promised never to start an attempt."""

    FENCED = "fenced"
    CLOSED = "closed"
    REPEATED = "repeated"
    WINDOW_PASSED = "window_passed"
    QUEUE_FULL = "queue_full"
    NO_UPSTREAM = "no_upstream"
    DRAINED = "drained"
    NO_PERMIT = "no_permit"
    LEAVING = "leaving"
    TOO_LATE = "too_late"
    THROTTLED = "throttled"
    UNREACHABLE = "unreachable"
    STOPPED = "stopped"


class AttemptState(enum.StrEnum):
    """What an executor knows of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    NEVER = "never"


class Verdict(enum.StrEnum):
    """How an attempt that was started ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNKNOWN = "unknown"


@message.register(20)
class Load:
    """How busy an executor is.

    Attributes:
      queued: An integer, tasks accepted and not started.
      running: An integer, tasks started and not finished.
      slots: An integer, how many tasks may run at once.
    """

    queued: int
    running: int
    slots: int


@message.register(21)
class StartTask:
    """One task to start.

    Attributes:
      index: An integer, the task's place in its job.
      attempt: An integer, unique for the task and the generation.
      task: A Task.
    """

    index: int
    attempt: int
    task: job.Task


@message.register(22)
class Start:
    """Start tasks of one job.

    Attributes:
      key: A string, the job key.
      issued_ms: An integer, when the ticket was issued.
      generation: An integer, of the owner that sends this.
      tenant: A string.
      urgency: A string, a job.Urgency.
      remaining_ms: An integer, the time left before the job's deadline.
      tasks: A tuple of StartTasks.
    """

    key: str
    issued_ms: int
    generation: int
    tenant: str
    urgency: str
    remaining_ms: int
    tasks: tuple[StartTask, ...]


@message.register(23)
class Finished:
    """An attempt ended on the upstream.

    Attributes:
      key: A string, the job key.
      index: An integer, the task's place in its job.
      attempt: An integer.
      verdict: A string, a Verdict.
      body: Bytes, the result as a JSON text, or the error as UTF-8 text.
      run_ms: An integer, the time from start to end.
      load: A Load.
    """

    key: str
    index: int
    attempt: int
    verdict: str
    body: bytes
    run_ms: int
    load: Load


@message.register(24)
class Rejected:
    """A promise never to start an attempt.

    Attributes:
      key: A string, the job key.
      index: An integer, the task's place in its job.
      attempt: An integer.
      reason: A string, a Reject.
      retry_after_ms: An integer, when the executor may accept again.
      load: A Load.
    """

    key: str
    index: int
    attempt: int
    reason: str
    retry_after_ms: int
    load: Load


@message.register(25)
class Claim:
    """Ask for a job's attempts, and promise for the rest.

    A claim of a higher generation raises the fence and drops what is queued. A
    claim of the same generation settles the attempts it names after a cut.

    Attributes:
      key: A string, the job key.
      issued_ms: An integer, when the ticket was issued.
      generation: An integer, of the owner that asks.
      incarnation: A string, the executor incarnation that is asked.
      attempts: A tuple of pairs of index and attempt.
    """

    key: str
    issued_ms: int
    generation: int
    incarnation: str
    attempts: tuple[tuple[int, int], ...]


@message.register(26)
class Attempt:
    """What an executor knows of one attempt.

    Attributes:
      index: An integer, the task's place in its job.
      attempt: An integer.
      state: A string, an AttemptState.
      verdict: A string, a Verdict; empty unless the state is FINISHED.
      body: Bytes, as in Finished; empty unless the state is FINISHED.
      body_held: A boolean, false when the body was dropped to bound memory.
    """

    index: int
    attempt: int
    state: str
    verdict: str = ""
    body: bytes = b""
    body_held: bool = True


@message.register(27)
class Claimed:
    """The answer to a Claim.

    Attributes:
      key: A string, the job key.
      fence: An integer, the highest generation seen; above the asking one the
        claim was refused.
      closed: A boolean, whether the job is closed here.
      attempts: A tuple of Attempts.
      load: A Load.
    """

    key: str
    fence: int
    closed: bool
    attempts: tuple[Attempt, ...]
    load: Load


@message.register(28)
class Close:
    """Close a job: nothing of it starts any more.

    Attributes:
      key: A string, the job key.
      issued_ms: An integer, when the ticket was issued.
      generation: An integer, of the owner that asks.
      incarnation: A string, the executor incarnation that is asked.
    """

    key: str
    issued_ms: int
    generation: int
    incarnation: str


@message.register(29)
class Fenced:
    """Tell an owner that a later generation has claimed its job.

    Attributes:
      key: A string, the job key.
      generation: An integer, the generation that owns the job now.
    """

    key: str
    generation: int


@message.register(30)
class Stop:
    """Cancel one attempt of a repeatable task that has its result already.

    Attributes:
      key: A string, the job key.
      generation: An integer, of the owner that sends this.
      index: An integer, the task's place in its job.
      attempt: An integer.
    """

    key: str
    generation: int
    index: int
    attempt: int


@message.register(31)
class Throttle:
    """Ask the upstream to run one attempt with less; nothing follows from it.

    Attributes:
      key: A string, the job key.
      generation: An integer, of the owner that sends this.
      index: An integer, the task's place in its job.
      attempt: An integer.
    """

    key: str
    generation: int
    index: int
    attempt: int

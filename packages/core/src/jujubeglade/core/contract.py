"""The messages between the owner of a job and the executors of its tasks.

The owner sends `Start`; the executor answers each task with one `Finished` or
one `Rejected`. `Rejected` is a promise that the attempt never starts. `Stop`
cancels one attempt whose task already has its result. `Claim` and `Close` are
requests, answered by `Claimed`; both raise the executor's fence to the sender's
generation. docs/DESIGN.md, "At most once", gives the rules.
"""

import enum

from jujubeglade.core import job, message


class RejectReason(enum.StrEnum):
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
    """The state of an attempt at its executor."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    NEVER = "never"


class Verdict(enum.StrEnum):
    """The result of an attempt that was started."""

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
      generation: An integer, the generation of the owner that sends this.
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
      reason: A string, a RejectReason.
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
    """Ask an executor for the state of a job's attempts; answered by a Claimed.

    A claim of a higher generation raises the fence and drops the queued attempts. A
    claim of the same generation follows a lost connection: the executor promises
    never to start those of the attempts listed here that did not reach it.

    Attributes:
      key: A string, the job key.
      issued_ms: An integer, when the ticket was issued.
      generation: An integer, the generation of the owner that asks.
      incarnation: A string, the incarnation of the executor that is asked.
      attempts: A tuple of pairs of index and attempt.
    """

    key: str
    issued_ms: int
    generation: int
    incarnation: str
    attempts: tuple[tuple[int, int], ...]


@message.register(26)
class Attempt:
    """The state of one attempt at its executor.

    Attributes:
      index: An integer, the task's place in its job.
      attempt: An integer.
      state: A string, an AttemptState.
      verdict: A string, a Verdict; empty unless the state is FINISHED.
      body: Bytes, as in Finished; empty unless the state is FINISHED.
      body_retained: A boolean, false when the executor dropped the body to bound its
        memory.
    """

    index: int
    attempt: int
    state: str
    verdict: str = ""
    body: bytes = b""
    body_retained: bool = True


@message.register(27)
class Claimed:
    """The answer to a Claim or a Close.

    Attributes:
      key: A string, the job key.
      fence: An integer, the highest generation seen; if it is above the generation
        of the request, the request was refused.
      closed: A boolean, whether the executor has closed the job.
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
    """Close a job, so that no attempt of it starts any more.

    It is answered by a Claimed.

    Attributes:
      key: A string, the job key.
      issued_ms: An integer, when the ticket was issued.
      generation: An integer, the generation of the owner that asks.
      incarnation: A string, the incarnation of the executor that is asked.
    """

    key: str
    issued_ms: int
    generation: int
    incarnation: str


@message.register(29)
class Fenced:
    """Notify an owner that a later generation has claimed its job.

    Attributes:
      key: A string, the job key.
      generation: An integer, the generation that owns the job now.
    """

    key: str
    generation: int


@message.register(30)
class Stop:
    """Cancel one attempt of a repeatable task that already has its result.

    Attributes:
      key: A string, the job key.
      generation: An integer, the generation of the owner that sends this.
      index: An integer, the task's place in its job.
      attempt: An integer.
    """

    key: str
    generation: int
    index: int
    attempt: int


@message.register(31)
class Throttle:
    """Ask the upstream to run one attempt with fewer resources.

    It is a hint: the owner expects no answer and relies on no effect.

    Attributes:
      key: A string, the job key.
      generation: An integer, the generation of the owner that sends this.
      index: An integer, the task's place in its job.
      attempt: An integer.
    """

    key: str
    generation: int
    index: int
    attempt: int

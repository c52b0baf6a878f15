"""The messages between entries and agents about direct jobs.

An agent dials every entry. An entry is the owner of the jobs that it has accepted; the
agent is the only caller of the worker beside it, and alone admits tasks there.

| from  | message | meaning                                                  |
|-------|---------|----------------------------------------------------------|
| agent | Roster  | the attempts for this owner; first on each link          |
| agent | Room    | what the worker can run; also the agent's heartbeat      |
| agent | Refused | an attempt has not started and never will                |
| agent | Ended   | an attempt has ended                                     |
| agent | Crashes | what its worker ran when it crashed                      |
| entry | Beat    | the owner's heartbeat, with how soon it needs room       |
| entry | Begin   | start an attempt                                         |
| entry | Halt    | stop an attempt                                          |
| both  | Evacuations, Members | a view newer than the other side's          |
| entry | FetchConfiguration | a request to another entry                    |
| entry | CompressedConfiguration | its answer                               |
"""

import enum

from jujubeglade.core import fields, message
from jujubeglade.direct import job

#: The interval of the heartbeats of either side.
HEARTBEAT_INTERVAL_MS = 150
#: A peer that has sent nothing for this long counts as lost. An agent then stops what
#: it runs for that owner, so that clients of a lost entry can submit again elsewhere.
SILENCE_TIMEOUT_MS = 600


class Refusal(enum.StrEnum):
    """Why an attempt never started."""

    ROOM = "room"
    NO_WORKER = "no_worker"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    OTHER_SERVICE = "other_service"
    DUPLICATE = "duplicate"
    OUTDATED_RUN = "outdated_run"
    WORKER_REFUSED = "worker_refused"
    LOST = "lost"
    OWNER_UNHEARD = "owner_unheard"
    OUTDATED_REPORT = "outdated_report"
    PROBATION = "probation"


class End(enum.StrEnum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    LOST = "lost"


#: The ends of attempts whose worker or agent went away.
LOSSES = (End.LAPSED, End.LOST)


@message.register(86)
class Beat:
    """An owner's heartbeat.

    Attributes:
      configuration: An integer, the revision of the owner's Configuration.
      evacuations: An integer, the revision of its Evacuations.
      members: An integer, the revision of its Members.
      service: A string, the service of `largest`; empty when that isn't told.
      largest: A Resources, the most of each resource that a worker of the service has,
        as far as the owner has heard.
      slack_ms: A number, how long its most urgent waiting job can still wait for room
        and be in time; infinite when no job waits.
      echo_ms: A number, the `sent_ms` of a Room that the owner received on this link
        some time ago; 0 for none. See `fleet.Worker.echo_ms`.
    """

    configuration: int
    evacuations: int
    members: int
    service: str
    largest: job.Resources
    slack_ms: fields.Limit
    echo_ms: float


@message.register(87)
class Begin:
    """Start an attempt of a task.

    Attributes:
      task: A TaskName.
      run: An integer, numbering the task's attempts from 1.
      service: A string.
      spec: A string.
      needs: A Resources.
      label: A string, the label that the worker must have; empty for any worker.
      number: An integer, counting the Begins of this link.
      left_ms: A number, the time in ms after which the attempt is too late.
      echo_ms: A number, the `sent_ms` of the last Room received on this link.
      is_suspect: A boolean, whether the task may have crashed a worker before.
    """

    task: job.TaskName
    run: int
    service: str
    spec: str
    needs: job.Resources
    label: str
    number: int
    left_ms: float
    echo_ms: float
    is_suspect: bool


@message.register(88)
class Halt:
    """Stop an attempt.

    Attributes:
      task: A TaskName.
      run: An integer.
    """

    task: job.TaskName
    run: int


@message.register(89)
class Room:
    """What a worker can run now.

    Attributes:
      service: A string; empty while there is no worker.
      labels: A tuple of strings.
      total: A Resources.
      free: A Resources.
      largest: A Resources, the most of each resource that a worker of the service has,
        as far as this agent and its owners have heard.
      accepting: A boolean, false while no attempt may start.
      last_begin: An integer, the number of the last Begin that `free` includes.
      configuration: An integer, the revision of the newest Configuration that any
        owner of this agent has; the agent has none itself.
      evacuations: An integer, the revision of the agent's Evacuations.
      members: An integer, the revision of the agent's Members.
      sent_ms: A number, when it was sent, on the agent's clock that also counts while
        its VM is suspended. The owner echoes it, which proves that it was alive then.
      on_probation: A boolean, whether a suspect has just started, so that no other
        one may start.
      withheld_cpu: An integer, the thousandths of a core of `free` that this owner is
        not to use, as others are offered them; see `offers`.
    """

    service: str
    labels: tuple[str, ...]
    total: job.Resources
    free: job.Resources
    largest: job.Resources
    accepting: bool
    last_begin: int
    configuration: int
    evacuations: int
    members: int
    sent_ms: float
    on_probation: bool
    withheld_cpu: int = 0


@message.register(90)
class Refused:
    """An attempt has not started and never will.

    Attributes:
      task: A TaskName.
      run: An integer.
      reason: A string, a Refusal.
    """

    task: job.TaskName
    run: int
    reason: str


@message.register(91)
class Ended:
    """An attempt has ended.

    Attributes:
      task: A TaskName.
      run: An integer.
      how: A string, an End.
      ran_ms: A number, the time from start to end as measured by the agent.
      keeps_room: A boolean, whether the owner may use the room again at once; false
        when another owner has been notified of it first.
      is_suspect: A boolean, whether the worker stopped answering before the attempt had
        survived its probation; see `crashes`.
    """

    task: job.TaskName
    run: int
    how: str
    ran_ms: float
    keeps_room: bool
    is_suspect: bool


@message.register(92)
class Roster:
    """The attempts of one owner on an agent; the first message on a new link.

    An attempt that the owner sent and that is not listed here has not started and
    never will: messages in flight on the previous link are lost.

    Attributes:
      attempts: A tuple of pairs of a TaskName and a run.
      ended: A tuple of Ended, the owner's most recent ones.
    """

    attempts: tuple[tuple[job.TaskName, int], ...]
    ended: tuple[Ended, ...]


@message.register(97)
class Crash:
    """The crash of a worker, which another incarnation has proved.

    Attributes:
      name: A string, unique among the crashes of all workers.
      tasks: A tuple of TaskNames, what it ran.
      young: A tuple of TaskNames, those of them that had not survived their probation.
      on_probation: A tuple of TaskNames, those of `young` that were suspects.
    """

    name: str
    tasks: tuple[job.TaskName, ...]
    young: tuple[job.TaskName, ...]
    on_probation: tuple[job.TaskName, ...]


@message.register(98)
class Crashes:
    """Crashes of the worker of an agent; an owner may know them already.

    Attributes:
      crashes: A tuple of Crashes.
    """

    crashes: tuple[Crash, ...]


@message.register(93)
class Members:
    """The entries that are registered in the store.

    Attributes:
      revision: An integer, the revision of the store.
      addresses: A tuple of strings, HOST:PORT of their streams.
    """

    revision: int
    addresses: tuple[str, ...]


NO_MEMBERS = Members(0, ())


@message.register(95)
class FetchConfiguration:
    """Request the Configuration that another entry has."""


@message.register(96)
class CompressedConfiguration:
    """The reply to a FetchConfiguration.

    Attributes:
      data: Bytes, the encoded Configuration, compressed by zlib: routes are much alike.
    """

    data: bytes

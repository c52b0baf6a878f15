"""What entries and agents tell each other about direct jobs.

An agent dials every entry. The entry is the owner of the jobs it took; the agent
is the only caller of the worker beside it and the only one to admit tasks there.

| from  | message | says                                                    |
|-------|---------|---------------------------------------------------------|
| agent | Roster  | what it holds for this owner; first on each link        |
| agent | Room    | what the worker can take; also the agent's heartbeat    |
| agent | Refused | an attempt never started here and never will            |
| agent | Ended   | an attempt ended                                        |
| entry | Beat    | the owner is alive, and how soon it needs room          |
| entry | Begin   | start an attempt                                        |
| entry | Halt    | stop an attempt                                         |
| both  | OperatorState, Members | the newer view that the other side lacks |
"""

import enum

from jujubeglade.core import message
from jujubeglade.direct import job

#: Between two beats of either side.
BEAT_MS = 150
#: A peer that was not heard for this long is taken as lost. An agent then stops what
#: it runs for that owner, so that clients of a lost entry may submit again elsewhere.
SILENCE_MS = 600


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


class End(enum.StrEnum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    LOST = "lost"


@message.register(86)
class Beat:
    """An owner's heartbeat.

    Attributes:
      revision: An integer, of the OperatorState it holds.
      members: An integer, the revision of the Members it holds.
      slack_ms: A number, how long the first of its jobs that wait for room may still
        wait to be in time; infinite when none waits.
    """

    revision: int
    members: int
    slack_ms: float


@message.register(87)
class Begin:
    """Start an attempt of a task.

    Attributes:
      task: A TaskName.
      run: An integer, numbering the task's attempts from 1.
      service: A string.
      spec: A string.
      needs: A Resources.
      label: A string that the worker must carry, or empty.
      number: An integer, counting the Begins of this link.
      left_ms: A number, after which the attempt is of no use.
    """

    task: job.TaskName
    run: int
    service: str
    spec: str
    needs: job.Resources
    label: str
    number: int
    left_ms: float


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
    """What a worker can take now.

    Attributes:
      service: A string; empty when no worker is there.
      labels: A tuple of strings.
      total: A Resources.
      free: A Resources.
      accepting: A boolean, false while nothing may start.
      begun: An integer, the number of the last Begin that `free` takes into account.
      revision: An integer, of the OperatorState the agent holds.
      members: An integer, the revision of the Members it holds.
    """

    service: str
    labels: tuple
    total: job.Resources
    free: job.Resources
    accepting: bool
    begun: int
    revision: int
    members: int


@message.register(90)
class Refused:
    """An attempt did not start and never will.

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
    """An attempt ended.

    Attributes:
      task: A TaskName.
      run: An integer.
      how: A string, an End.
      ran_ms: A number, from its start to its end as the agent saw them.
      keeps_room: A boolean, whether the owner may use the room again at once; if not,
        another owner has been told of it first.
    """

    task: job.TaskName
    run: int
    how: str
    ran_ms: float
    keeps_room: bool


@message.register(92)
class Roster:
    """All that an agent holds for one owner, first on a new link.

    An attempt that the owner sent and that is not named here has not started and
    never will: what was on its way on the former link is gone.

    Attributes:
      holding: A tuple of pairs of a TaskName and a run.
      ended: A tuple of Ended.
    """

    holding: tuple
    ended: tuple


@message.register(93)
class Members:
    """The entries that are registered in the store.

    Attributes:
      revision: An integer, of the store.
      addresses: A tuple of strings, HOST:PORT of their streams.
    """

    revision: int
    addresses: tuple


NO_MEMBERS = Members(0, ())

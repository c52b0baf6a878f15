"""The messages from an entry to the owner of a job, and the answers to them."""

from jujubeglade.core import job, member, message


@message.register(50)
class Submit:
    """Send a submission to an owner; answered by an Answer or a Moved.

    Attributes:
      submission: A Submission.
      generation: An integer, the index of the receiver in the ticket's group.
      members: A tuple of Members, those of the group that the entry has in its
        membership.
      wait_ms: An integer, how long to wait for the job to end; if it still runs
        then, the answer says that it is running.
    """

    submission: job.Submission
    generation: int
    members: tuple[member.Member, ...]
    wait_ms: int


@message.register(51)
class Query:
    """Ask an owner for a job's answer.

    Attributes:
      key: A string, the job key.
      tenant: A string, the tenant whose job it must be; empty for any.
      wait_ms: An integer, as in Submit.
    """

    key: str
    tenant: str
    wait_ms: int


@message.register(52)
class Cancel:
    """Cancel a job; answered by its Answer.

    Attributes:
      key: A string, the job key.
      tenant: A string, the tenant whose job it must be; empty for any.
      reason: A string, who asked and why.
    """

    key: str
    tenant: str
    reason: str


@message.register(53)
class Moved:
    """A later generation owns the job.

    Attributes:
      key: A string, the job key.
      generation: An integer, the generation that owns the job.
    """

    key: str
    generation: int


@message.register(54)
class CancelTenant:
    """Cancel all jobs of a tenant that the receiver owns.

    Attributes:
      tenant: A string.
      reason: A string, who asked and why.
    """

    tenant: str
    reason: str


@message.register(55)
class Count:
    """A number, the answer to CancelTenant and Throttle.

    Attributes:
      value: An integer.
    """

    value: int


@message.register(56)
class ListJobs:
    """Ask an agent for the jobs that it owns; answered by JobRows.

    Attributes:
      tenant: A string, list only jobs of this tenant; empty for any.
      state: A string, list only jobs in this job.State; empty for any.
      limit: An integer, the most rows to return, the newest jobs first.
    """

    tenant: str
    state: str
    limit: int


@message.register(57)
class JobRow:
    """One job in a list.

    Attributes:
      key: A string, the job key.
      tenant: A string.
      state: A string, a job.State.
      tasks: An integer, how many tasks it has.
      done: An integer, how many of them have ended.
    """

    key: str
    tenant: str
    state: str
    tasks: int
    done: int


@message.register(58)
class JobRows:
    """The jobs of one agent.

    Attributes:
      rows: A tuple of JobRows, the newest first.
      total: An integer, how many jobs there are, including those beyond the limit.
    """

    rows: tuple[JobRow, ...]
    total: int


@message.register(59)
class Throttle:
    """Throttle the running attempts of a job; answered by a Count of them.

    Attributes:
      key: A string, the job key.
      reason: A string, who asked and why.
    """

    key: str
    reason: str

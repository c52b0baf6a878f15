"""The records of the specification `direct`, and the steps that change them."""

import dataclasses
import typing

#: The duration of a worker lease, in ticks.
LEASE = 1
#: The silence after which an agent drops an owner, in ticks.
SILENCE_TIMEOUT = 1
#: How much longer a lease lasts on a slow clock, in ticks.
SLOW_CLOCK_DELAY = 1
#: The ticks after which a client whose owner died submits again elsewhere.
RESUBMIT_DELAY = LEASE + SLOW_CLOCK_DELAY + 1
#: Tokens stay at this value, so that the number of states is finite.
MAX_TOKEN = 6

#: Values of a placement that isn't the number of a worker: the task may be placed, or
#: its owner died and its client has yet to submit it again.
UNPLACED = -1
AWAITING_CLIENT = -2
#: The phases of an attempt as far as its agent knows.
NONE, STARTING, RUNNING, UNRESOLVED, STOPPING = range(5)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      waits_until_clean: A restarted agent starts nothing before the worker has listed
        its running tasks and these have been stopped.
      raises_token: A lost answer raises the fencing token.
      needs_higher_token: A start that the worker does not list counts as never carried
        out only if the worker has answered under a higher token.
      resolves_unknown: A start whose answer was lost does not count as refused.
      starts_expire: A start has the end of the lease with it, after which the worker
        does not carry it out.
      waits_for_lease: After a lost link, an owner waits for the silence timeout and the
        lease before it places a task again.
      allows_slow_clock: That wait allows for a slow clock of the worker.
      drops_silent_owner: An agent stops the tasks of an owner that is silent.
      counts_suspension: The time for which an agent is frozen counts as silence.
      keeps_room: A task that is being stopped keeps its room until the worker lists its
        end.
    """

    waits_until_clean: bool = True
    raises_token: bool = True
    needs_higher_token: bool = True
    resolves_unknown: bool = True
    starts_expire: bool = True
    waits_for_lease: bool = True
    allows_slow_clock: bool = True
    drops_silent_owner: bool = True
    counts_suspension: bool = True
    keeps_room: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      workers: An integer, the number of workers.
      tasks: An integer, the number of tasks.
      faults: An integer, the number of failures that may happen.
    """

    workers: int
    tasks: int
    faults: int


class Worker(typing.NamedTuple):
    """A worker, its agent, and the agent's link to the owner.

    `fence` is the highest token that the worker has received, and `token` is the
    agent's. `clean` tells whether the worker has listed its running tasks, and those
    that this incarnation of the agent has not started have ended; `owner_lost` tells
    whether the owner died. `silence` and `lease` are the ticks since the link was lost
    and until the lease expires; `slow_ticks` are those that a slow clock added to it.
    """

    fence: int = 0
    token: int = 1
    clean: bool = True
    alive: bool = True
    frozen: bool = False
    linked: bool = True
    owner_lost: bool = False
    silence: int = 0
    lease: int = 0
    slow_ticks: int = 0


class Attempt(typing.NamedTuple):
    """The state of one task at a worker and its agent.

    `phase` is the agent's. `start_token` is the token of a start in flight, 0 if there
    is none, and `start_age` is its age in ticks. `sent_token` is the token of the last
    start. `runs` is 1 while the worker runs the task.
    """

    phase: int = NONE
    start_token: int = 0
    sent_token: int = 0
    start_age: int = 0
    runs: int = 0


class State(typing.NamedTuple):
    """The whole system.

    `placements` has for each task the number of the worker on which its owner placed
    it, UNPLACED or AWAITING_CLIENT. `waits` has the ticks that the owner has waited
    since its link was lost, or those until the client submits the task again.
    """

    workers: tuple
    attempts: tuple
    placements: tuple
    waits: tuple
    faults: int
    task_ended: bool


def replace_item(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def with_worker(state, number, worker=None, task=None, attempt=None):
    """Replace a worker, one of its attempts, or both."""
    if worker is not None:
        state = state._replace(workers=replace_item(state.workers, number, worker))
    if attempt is not None:
        row = replace_item(state.attempts[number], task, attempt)
        state = state._replace(attempts=replace_item(state.attempts, number, row))
    return state


def with_placement(state, task, placement, wait=0):
    return state._replace(
        placements=replace_item(state.placements, task, placement),
        waits=replace_item(state.waits, task, wait),
    )


def all_attempts(state):
    for number, row in enumerate(state.attempts):
        for task, attempt in enumerate(row):
            yield number, task, state.workers[number], attempt


def can_act(worker):
    """Tell whether an agent can take steps now."""
    return worker.alive and not worker.frozen


def report_over(state, number, task):
    """Report to the owner that an attempt is over, if the link is open."""
    if state.placements[task] == number and state.workers[number].linked:
        return with_placement(state, task, UNPLACED)
    return state


def report_absent(setting, state, number):
    """Let the owner place again the tasks that a linked, clean agent does not have."""
    worker = state.workers[number]
    if not worker.linked or (setting.rules.waits_until_clean and not worker.clean):
        return state
    for task, attempt in enumerate(state.attempts[number]):
        if state.placements[task] == number and attempt.phase == NONE:
            state = with_placement(state, task, UNPLACED)
    return state

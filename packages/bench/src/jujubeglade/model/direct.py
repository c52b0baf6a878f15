"""Direct jobs: no task runs twice at one time, no worker runs more than its room.

A worker has room for one task, which runs only while the worker's lease lasts; its
clock may be slow. The agent beside the worker starts and stops tasks and polls it,
which renews the lease. The answer to a start may be lost, and the start carried out
later. An agent may die, freeze, or lose its link to the owner. An owner places a task
again when it is certain that the task no longer runs: the agent has reported so, or the
owner has waited long enough. Time passes in ticks, in which all waiting times are
counted.
"""

import dataclasses
import functools
import typing

from jujubeglade.model import spec

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


ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)
_RUNNER = "jujubeglade.direct.runner:Runner."
_DISPATCHER = "jujubeglade.direct.dispatcher:Dispatcher."
_FAULTS = "jujubeglade.fakes.direct_random_faults:Faults."


def initial(setting):
    """Return the state in which no task is placed."""
    bounds = setting.bounds
    return State(
        (Worker(),) * bounds.workers,
        ((Attempt(),) * bounds.tasks,) * bounds.workers,
        (UNPLACED,) * bounds.tasks,
        (0,) * bounds.tasks,
        bounds.faults,
        False,
    )


def _replace_item(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def _with_worker(state, number, worker=None, task=None, attempt=None):
    """Replace a worker, one of its attempts, or both."""
    if worker is not None:
        state = state._replace(workers=_replace_item(state.workers, number, worker))
    if attempt is not None:
        row = _replace_item(state.attempts[number], task, attempt)
        state = state._replace(attempts=_replace_item(state.attempts, number, row))
    return state


def _with_placement(state, task, placement, wait=0):
    return state._replace(
        placements=_replace_item(state.placements, task, placement),
        waits=_replace_item(state.waits, task, wait),
    )


def _all_attempts(state):
    for number, row in enumerate(state.attempts):
        for task, attempt in enumerate(row):
            yield number, task, state.workers[number], attempt


def _can_act(worker):
    """Tell whether an agent can take steps now."""
    return worker.alive and not worker.frozen


def _has_room(setting, row):
    taken = (STARTING, RUNNING, UNRESOLVED)
    if setting.rules.keeps_room:
        taken = (*taken, STOPPING)
    return all(attempt.phase not in taken for attempt in row)


@_action("place", _RUNNER + "begin")
def place(setting, state):
    """The owner places a task on a worker whose agent has room."""
    for number, task, worker, attempt in _all_attempts(state):
        if state.placements[task] != UNPLACED or not (
            _can_act(worker) and worker.linked
        ):
            continue
        if setting.rules.waits_until_clean and not worker.clean:
            continue
        if attempt.start_token or not _has_room(setting, state.attempts[number]):
            continue
        sent = Attempt(STARTING, worker.token, worker.token, 0, attempt.runs)
        following = _with_worker(state, number, None, task, sent)
        yield f"task {task} to {number}", _with_placement(following, task, number)


@_action("carry_out", "jujubeglade.platform._worker:HttpWorkerClient.start")
def carry_out(setting, state):
    """The worker carries out a start, or refuses it as fenced or expired."""
    for number, task, worker, attempt in _all_attempts(state):
        if not attempt.start_token:
            continue
        expired = setting.rules.starts_expire and attempt.start_age >= LEASE
        if attempt.start_token < worker.fence or expired:
            discarded = attempt._replace(start_token=0)
            if attempt.phase == STARTING and _can_act(worker):
                discarded = discarded._replace(phase=NONE)
                following = _with_worker(state, number, None, task, discarded)
                yield f"start of {task} refused", _report_over(following, number, task)
            else:
                yield (
                    f"start of {task} discarded",
                    _with_worker(state, number, None, task, discarded),
                )
            continue
        phase = RUNNING if attempt.phase == STARTING else attempt.phase
        # A worker that runs the task already does not start it again.
        running = attempt._replace(phase=phase, start_token=0, runs=1)
        left = LEASE - attempt.start_age if setting.rules.starts_expire else LEASE
        leased = worker._replace(
            fence=attempt.start_token, lease=max(worker.lease, left)
        )
        yield (
            f"start of {task} carried out",
            _with_worker(state, number, leased, task, running),
        )


@_action("lose_answer", _RUNNER + "_handle_reply")
def lose_answer(setting, state):
    """The answer to a start is lost; the start may be carried out later."""
    for number, task, worker, attempt in _all_attempts(state):
        if attempt.phase != STARTING or not _can_act(worker):
            continue
        # The loss of an answer counts as a failure, unless no answer will come.
        cost = 1 if attempt.start_token or attempt.runs else 0
        if state.faults < cost:
            continue
        before = state
        state = state._replace(faults=state.faults - cost)
        token = min(MAX_TOKEN, worker.token + setting.rules.raises_token)
        raised = worker._replace(token=token)
        if setting.rules.resolves_unknown:
            unresolved = attempt._replace(phase=UNRESOLVED)
            yield (
                f"no answer to the start of {task}",
                _with_worker(state, number, raised, task, unresolved),
            )
        else:
            refused = attempt._replace(phase=NONE)
            following = _with_worker(state, number, raised, task, refused)
            yield (
                f"start of {task} counts as refused",
                _with_placement(following, task, UNPLACED),
            )
        state = before


@_action("look", _RUNNER + "_apply")
def poll(setting, state):
    """The agent polls the worker, which lists its running tasks."""
    for number, worker in enumerate(state.workers):
        if not _can_act(worker):
            continue
        polled = worker._replace(
            fence=max(worker.fence, worker.token),
            lease=LEASE if worker.clean else worker.lease,
        )
        following = _with_worker(state, number, polled)
        has_foreign = False
        for task, attempt in enumerate(state.attempts[number]):
            following, is_foreign = _reconcile(
                setting, following, number, task, attempt
            )
            has_foreign = has_foreign or is_foreign
        if not has_foreign:
            clean = following.workers[number]._replace(clean=True)
            following = _report_absent(
                setting, _with_worker(following, number, clean), number
            )
        yield f"worker {number} lists its tasks", following


def _reconcile(setting, state, number, task, attempt):
    """Reconcile one attempt with the worker's list.

    Returns:
      A pair: the next state, and whether the worker ran the task although this
      incarnation of the agent has not started it.
    """
    worker = state.workers[number]
    if attempt.phase == UNRESOLVED and attempt.runs:
        return _with_worker(
            state, number, None, task, attempt._replace(phase=RUNNING)
        ), False
    if attempt.phase == UNRESOLVED:
        higher = worker.token > attempt.sent_token
        if higher or not setting.rules.needs_higher_token:
            removed = _with_worker(
                state, number, None, task, attempt._replace(phase=NONE)
            )
            return _report_over(removed, number, task), False
        return state, False
    if attempt.phase in (RUNNING, STOPPING) and not attempt.runs:
        removed = _with_worker(state, number, None, task, attempt._replace(phase=NONE))
        return _report_over(removed, number, task), False
    if attempt.phase == NONE and attempt.runs:
        stopped = _with_worker(state, number, None, task, attempt._replace(runs=0))
        return stopped, True
    return state, False


def _report_over(state, number, task):
    """Report to the owner that an attempt is over, if the link is open."""
    if state.placements[task] == number and state.workers[number].linked:
        return _with_placement(state, task, UNPLACED)
    return state


@_action("end", _RUNNER + "_handle_finished")
def end(setting, state):
    """A task ends by itself and the worker lists its end; it may be placed again."""
    for number, task, worker, attempt in _all_attempts(state):
        if attempt.runs != 1 or not _can_act(worker) or attempt.phase == UNRESOLVED:
            continue
        ended = attempt._replace(phase=NONE, runs=0)
        following = _with_worker(state, number, None, task, ended)
        yield (
            f"end of {task}",
            _report_over(following, number, task)._replace(task_ended=True),
        )


@_action("halt", _RUNNER + "halt")
def halt(setting, state):
    """The owner has a task stopped because its client has left."""
    for number, task, worker, attempt in _all_attempts(state):
        if attempt.phase == RUNNING and attempt.runs and _can_act(worker):
            stopping = attempt._replace(phase=STOPPING)
            yield f"stop {task}", _with_worker(state, number, None, task, stopping)


@_action("stopped", _RUNNER + "_handle_finished")
def stopped(setting, state):
    """A stopped task has ended, and the worker lists its end."""
    for number, task, worker, attempt in _all_attempts(state):
        if attempt.phase == STOPPING and attempt.runs and _can_act(worker):
            ended = attempt._replace(phase=NONE, runs=0)
            following = _with_worker(state, number, None, task, ended)
            yield f"stopped {task}", _report_over(following, number, task)


@_action("kill_agent", _FAULTS + "restart_agent")
def kill_agent(setting, state):
    """An agent dies; its next incarnation has no state but a higher token."""
    if not state.faults:
        return
    state = state._replace(faults=state.faults - 1)
    for number, worker in enumerate(state.workers):
        if not worker.alive:
            continue
        dead = worker._replace(alive=False, frozen=False, clean=False, linked=False)
        row = tuple(attempt._replace(phase=NONE) for attempt in state.attempts[number])
        following = _with_worker(state, number, dead)
        following = following._replace(
            attempts=_replace_item(state.attempts, number, row)
        )
        yield f"agent {number} dies", following


@_action("start_agent", _RUNNER + "_adopt_instance")
def start_agent(setting, state):
    """An agent starts again."""
    for number, worker in enumerate(state.workers):
        if not worker.alive:
            token = min(MAX_TOKEN, worker.token + 1)
            restarted = worker._replace(
                alive=True, token=token, silence=0, owner_lost=False
            )
            yield f"agent {number} starts", _with_worker(state, number, restarted)


@_action("freeze", _FAULTS + "freeze_agent")
def freeze(setting, state):
    """An agent freezes and loses its link to the owner."""
    if not state.faults:
        return
    state = state._replace(faults=state.faults - 1)
    for number, worker in enumerate(state.workers):
        if _can_act(worker):
            frozen = worker._replace(frozen=True, linked=False)
            yield f"agent {number} freezes", _with_worker(state, number, frozen)


@_action("wake", "jujubeglade.direct.owners:drop_silent")
def resume(setting, state):
    """A frozen agent resumes; it checks first for how long its owner was silent."""
    for number, worker in enumerate(state.workers):
        if worker.frozen:
            resumed = worker._replace(frozen=False)
            yield f"agent {number} resumes", _with_worker(state, number, resumed)


@_action("cut", _FAULTS + "cut")
def cut(setting, state):
    """The link between the owner and an agent is cut."""
    if not state.faults:
        return
    state = state._replace(faults=state.faults - 1)
    for number, worker in enumerate(state.workers):
        if worker.linked and worker.alive:
            yield (
                f"link of agent {number} is cut",
                _with_worker(state, number, worker._replace(linked=False)),
            )


@_action("relink", _DISPATCHER + "_handle_roster")
def relink(setting, state):
    """An agent dials again and reports its attempts; others may be placed again."""
    for number, worker in enumerate(state.workers):
        if worker.linked or worker.owner_lost or not _can_act(worker):
            continue
        following = _with_worker(state, number, worker._replace(linked=True, silence=0))
        yield f"agent {number} dials", _report_absent(setting, following, number)


def _report_absent(setting, state, number):
    """Let the owner place again the tasks that a linked, clean agent does not have."""
    worker = state.workers[number]
    if not worker.linked or (setting.rules.waits_until_clean and not worker.clean):
        return state
    for task, attempt in enumerate(state.attempts[number]):
        if state.placements[task] == number and attempt.phase == NONE:
            state = _with_placement(state, task, UNPLACED)
    return state


@_action("lose_owner", _FAULTS + "restart_entry")
def lose_owner(setting, state):
    """The owner of a task dies; its client submits it elsewhere after a while."""
    if not state.faults:
        return
    state = state._replace(faults=state.faults - 1)
    for task, number in enumerate(state.placements):
        if number >= 0:
            worker = state.workers[number]._replace(linked=False, owner_lost=True)
            following = _with_worker(state, number, worker)
            yield (
                f"owner of {task} dies",
                _with_placement(following, task, AWAITING_CLIENT, RESUBMIT_DELAY),
            )


@_action("tick", "jujubeglade.direct.worker_lease:WorkerLease.has_lapsed")
def tick(setting, state):
    """A tick: leases expire or are renewed, and agents drop silent owners."""
    following = state
    for number, worker in enumerate(state.workers):
        following = _pass_worker_time(setting, following, number, worker)
    for task, placement in enumerate(state.placements):
        following = _pass_owner_time(setting, following, task, placement)
    yield "time passes", following
    for number, worker in enumerate(state.workers):
        if (
            worker.lease
            and worker.slow_ticks < SLOW_CLOCK_DELAY
            and not _can_act(worker)
        ):
            slowed = following.workers[number]._replace(
                lease=worker.lease, slow_ticks=SLOW_CLOCK_DELAY
            )
            attempts = following.attempts[:number] + (state.attempts[number],)
            attempts += following.attempts[number + 1 :]
            yield (
                f"time passes slowly at {number}",
                _with_worker(following._replace(attempts=attempts), number, slowed),
            )


def _pass_worker_time(setting, state, number, worker):
    """Let a tick pass at one worker and its agent."""
    silent = worker.alive and not worker.linked
    counts = silent and (setting.rules.counts_suspension or not worker.frozen)
    silence = min(SILENCE_TIMEOUT + 1, worker.silence + 1) if counts else worker.silence
    lease = max(0, worker.lease - 1)
    row = tuple(_age_start(attempt) for attempt in state.attempts[number])
    if _can_act(worker):
        lease = LEASE if worker.clean and worker.lease else lease
        if silence > SILENCE_TIMEOUT and setting.rules.drops_silent_owner:
            worker, row = _drop_owner(worker, row)
    if not lease:
        row = tuple(attempt._replace(runs=0) for attempt in row)
    updated = worker._replace(silence=silence, lease=lease)
    state = _with_worker(state, number, updated)
    return state._replace(attempts=_replace_item(state.attempts, number, row))


def _drop_owner(worker, row):
    """Stop the owner's tasks; a start in flight is refused due to the higher token."""
    worker = worker._replace(owner_lost=False)
    if all(attempt.phase == NONE for attempt in row):
        return worker, row
    token = min(MAX_TOKEN, worker.token + 1)
    stopped = tuple(attempt._replace(phase=NONE, runs=0) for attempt in row)
    return worker._replace(token=token, fence=token), stopped


def _age_start(attempt):
    """Let a tick pass for a start in flight."""
    if not attempt.start_token:
        return attempt
    return attempt._replace(start_age=min(LEASE, attempt.start_age + 1))


def _pass_owner_time(setting, state, task, placement):
    """Let a tick pass at the owner of a task."""
    if placement == AWAITING_CLIENT:
        left = state.waits[task] - 1
        if left <= 0:
            return _with_placement(state, task, UNPLACED)
        return _with_placement(state, task, AWAITING_CLIENT, left)
    if placement == UNPLACED or state.workers[placement].linked:
        return state
    needed = 0
    if setting.rules.waits_for_lease:
        needed = (
            SILENCE_TIMEOUT + LEASE + setting.rules.allows_slow_clock * SLOW_CLOCK_DELAY
        )
    waited = state.waits[task] + 1
    if waited >= needed:
        return _with_placement(state, task, UNPLACED)
    return _with_placement(state, task, placement, waited)


def no_task_runs_twice(fields):
    """Tell whether no task runs twice at one time."""
    for runs in zip(*fields["attempts"], strict=True):
        if sum(attempt.runs for attempt in runs) > 1:
            return False
    return True


def within_room(fields):
    """Tell whether no worker runs more than one task."""
    return all(sum(attempt.runs for attempt in row) <= 1 for row in fields["attempts"])


def has_ended(fields):
    """Tell whether some task has ended by itself."""
    return fields["task_ended"]


_TWICE = Bounds(workers=2, tasks=1, faults=2)
_ROOM = Bounds(workers=1, tasks=2, faults=2)

SPECIFICATION = spec.register(
    spec.Specification(
        name="direct",
        rules=Rules(),
        bounds={
            "small": (
                Bounds(workers=2, tasks=1, faults=1),
                Bounds(workers=1, tasks=2, faults=1),
            ),
            "full": (_TWICE, _ROOM),
        },
        mutation_bounds=_TWICE,
        progress_bounds=(Bounds(workers=2, tasks=1, faults=1),),
        actions=tuple(ACTIONS),
        initial=initial,
        invariants={
            "no task runs twice at one time": no_task_runs_twice,
            "no worker runs more than its room": within_room,
        },
        goal=has_ended,
        witnesses={
            "a task runs again after its agent died": lambda fields: (
                any(not worker.alive for worker in fields["workers"])
                and any(attempt.runs for row in fields["attempts"] for attempt in row)
                and fields["faults"] == 0
            ),
        },
    )
)

_mutation = functools.partial(spec.mutation, "direct")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("a restarted agent does not wait for the worker's list", _ROOM)(
    _off("waits_until_clean")
)
_mutation("a lost answer does not raise the token", _TWICE)(
    lambda rules: dataclasses.replace(
        rules, raises_token=False, needs_higher_token=False
    )
)
_mutation("a start without an answer counts as refused")(_off("resolves_unknown"))
_mutation("a start does not expire")(_off("starts_expire"))
_mutation("an owner places again without waiting for the lease")(
    _off("waits_for_lease")
)
_mutation("an owner's wait does not allow for a slow clock")(_off("allows_slow_clock"))
_mutation("an agent keeps the tasks of a silent owner running")(
    _off("drops_silent_owner")
)
_mutation("the time of a freeze does not count as silence")(_off("counts_suspension"))
_mutation("room is free as soon as the stop is sent", _ROOM)(_off("keeps_room"))

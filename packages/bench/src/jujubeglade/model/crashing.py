"""Crashing: a task that crashes each worker that starts it is not started for ever.

The worker is back some ticks after a crash; only then does its agent know that it has
crashed and was not just silent. The owner learns sooner that the attempt is lost.
Entries and agents may be restarted, and a client whose entry was lost submits the job
again at any entry. Where the task crashes no worker, workers only fall silent.

The task runs alone on its workers, so that each crash is charged to it.
"""

import dataclasses
import functools
import typing

from jujubeglade.model import spec

#: The ticks after which the owner learns that an attempt is lost.
_LAPSE = 2
#: The ticks for which a worker is away.
_AWAY = 3
#: The ticks after which a client submits a job again.
_PAUSE = 1
#: The owner gives a task up after this many crashes, and after this many lost attempts.
_MAX_CRASHES = 2
_MAX_LOSSES = 4
#: A task may be started fewer times than this once as many workers have crashed.
_MANY = 3
_NOWHERE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      counts_crashes: An owner gives a task up by the crashes under it.
      counts_losses: An owner gives a task up by the attempts that were lost.
      tells_all: An agent tells all entries of a crash, not only the owner.
      repeats: An agent tells an entry of earlier crashes on a new link.
      keeps_copy: A restarted agent knows the crashes that it knew before.
      needs_proof: Only another incarnation of the worker counts as a crash.
    """

    counts_crashes: bool = True
    counts_losses: bool = True
    tells_all: bool = True
    repeats: bool = True
    keeps_copy: bool = True
    needs_proof: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      workers: An integer.
      faults: An integer, how many processes are restarted, or workers fall silent.
      crashes: Whether the task crashes each worker that starts it.
    """

    workers: int = 3
    faults: int = 2
    crashes: bool = True


class Worker(typing.NamedTuple):
    """A worker and its agent.

    `away` has the ticks until it is back; `crash` is the number of the crash that its
    agent will know then, 0 for none; `known` are the crashes that the agent knows.
    """

    away: int = 0
    crash: int = 0
    known: frozenset = frozenset()


class State(typing.NamedTuple):
    """The whole system.

    `entries` has the crashes that each entry knows. `late_starts` counts the starts of
    the task after `_MANY` crashes.
    """

    workers: tuple
    entries: tuple
    owner: int
    runs_on: int
    lapse: int
    pause: int
    losses: int
    crashes: int
    late_starts: int
    gives_up: bool
    faults: int


ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)
_DISPATCHER = "jujubeglade.direct.dispatcher:Dispatcher."
_RUNNER = "jujubeglade.direct.runner:Runner."


def initial(setting):
    """Return the state in which an entry has just taken the job."""
    workers = (Worker(),) * setting.bounds.workers
    entries = (frozenset(), frozenset())
    faults = setting.bounds.faults
    return State(workers, entries, 0, _NOWHERE, 0, 0, 0, 0, 0, False, faults)


def _replace(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def _is_waiting(state):
    has_owner = state.owner != _NOWHERE
    return has_owner and state.runs_on == _NOWHERE and not state.gives_up


def _is_hopeless(setting, state):
    rules = setting.rules
    crashes = len(state.entries[state.owner])
    if rules.counts_crashes and crashes >= _MAX_CRASHES:
        return True
    return rules.counts_losses and state.losses >= _MAX_LOSSES


@_action("start", _DISPATCHER + "send")
def _start(setting, state):
    if not _is_waiting(state) or _is_hopeless(setting, state):
        return
    if not setting.bounds.crashes and not state.faults:
        return
    for index, worker in enumerate(state.workers):
        if worker.away:
            continue
        started = state._replace(runs_on=index, lapse=_LAPSE)
        yield f"start on {index}", _crash(setting, started, index)


def _crash(setting, state, index):
    """Return the state after the worker has crashed under the task, or is silent."""
    worker = state.workers[index]
    if not setting.bounds.crashes:
        silent = worker._replace(away=_AWAY)
        workers = _replace(state.workers, index, silent)
        return state._replace(workers=workers, faults=state.faults - 1)
    number = state.crashes + 1
    crashed = worker._replace(away=_AWAY, crash=number)
    return state._replace(
        workers=_replace(state.workers, index, crashed),
        crashes=number,
        late_starts=state.late_starts + (state.crashes >= _MANY),
    )


@_action("give up", _DISPATCHER + "_give_up_if_hopeless")
def _give_up(setting, state):
    if _is_waiting(state) and _is_hopeless(setting, state):
        yield "give up", state._replace(gives_up=True)


@_action("tick", "jujubeglade.fakes.virtual:VirtualLoop")
def _tick(setting, state):
    if state.gives_up:
        return
    ticked = state._replace(pause=max(0, state.pause - 1))
    if state.runs_on != _NOWHERE:
        ticked = ticked._replace(lapse=state.lapse - 1)
    if state.runs_on != _NOWHERE and not ticked.lapse:
        ticked = ticked._replace(runs_on=_NOWHERE, losses=state.losses + 1)
        if not setting.rules.needs_proof:
            # The attempt's number stands for its crash.
            ticked = _learn(setting, ticked, -ticked.losses)
    for index, worker in enumerate(state.workers):
        if worker.away:
            ticked = _pass_away(setting, ticked, index)
    yield "tick", ticked


def _pass_away(setting, state, index):
    """Return the state after one tick of a worker that is away."""
    worker = state.workers[index]
    passed = worker._replace(away=worker.away - 1)
    state = state._replace(workers=_replace(state.workers, index, passed))
    if passed.away or not worker.crash:
        return state
    proven = passed._replace(crash=0, known=passed.known | {worker.crash})
    state = state._replace(workers=_replace(state.workers, index, proven))
    return _learn(setting, state, worker.crash)


def _learn(setting, state, crash):
    """Return the state after the entries have heard of a crash."""
    entries = tuple(
        known | {crash} if setting.rules.tells_all or index == state.owner else known
        for index, known in enumerate(state.entries)
    )
    return state._replace(entries=entries)


@_action("restart the owner", "jujubeglade.fakes.direct_field:FieldSite.kill")
def _restart_owner(setting, state):
    if state.owner == _NOWHERE or not state.faults or state.gives_up:
        return
    if not setting.bounds.crashes:
        return
    known = frozenset()
    if setting.rules.repeats:
        known = known.union(*(worker.known for worker in state.workers))
    yield (
        "restart the owner",
        state._replace(
            entries=_replace(state.entries, state.owner, known),
            owner=_NOWHERE,
            runs_on=_NOWHERE,
            losses=0,
            pause=_PAUSE,
            faults=state.faults - 1,
        ),
    )


@_action("submit again", "jujubeglade.fakes.direct_clients:Request")
def _submit_again(setting, state):
    if state.owner != _NOWHERE or state.pause:
        return
    for index in range(len(state.entries)):
        yield f"submit again at {index}", state._replace(owner=index)


@_action("restart an agent", "jujubeglade.direct.report_cache:ReportCache._read")
def _restart_agent(setting, state):
    if not state.faults or not setting.bounds.crashes or state.gives_up:
        return
    for index, worker in enumerate(state.workers):
        if not worker.crash and not worker.known:
            continue
        known = worker.known if setting.rules.keeps_copy else frozenset()
        # It does not know what an incarnation ran that ended before its own start.
        restarted = worker._replace(crash=0, known=known)
        yield (
            f"restart agent {index}",
            state._replace(
                workers=_replace(state.workers, index, restarted),
                faults=state.faults - 1,
            ),
        )


def canonical(state):
    """Return the state with its workers in a fixed order."""
    order = sorted(
        range(len(state.workers)),
        key=lambda index: (
            index != state.runs_on,
            state.workers[index].away,
            state.workers[index].crash,
            sorted(state.workers[index].known),
        ),
    )
    runs_on = state.runs_on if state.runs_on == _NOWHERE else 0
    workers = tuple(state.workers[index] for index in order)
    return state._replace(workers=workers, runs_on=runs_on)


def is_bounded(fields):
    """Tell whether the task was not started too often after many crashes."""
    return fields["late_starts"] < _MANY


def silence_is_no_crash(fields):
    """Tell whether a task is given up only if workers have crashed under it."""
    return not fields["gives_up"] or fields["crashes"] > 0


def has_ended(fields):
    """Tell whether the task was given up, or waits while no worker crashes any more."""
    return fields["gives_up"] or fields["faults"] == 0


_CRASHES = Bounds()
_SILENCE = Bounds(faults=3, crashes=False)

SPECIFICATION = spec.register(
    spec.Specification(
        name="crashing",
        rules=Rules(),
        bounds={
            "small": (Bounds(faults=1), _SILENCE),
            "full": (Bounds(faults=3), Bounds(workers=4), _SILENCE),
        },
        mutation_bounds=_CRASHES,
        progress_bounds=(Bounds(faults=1),),
        actions=tuple(ACTIONS),
        initial=initial,
        invariants={
            "a task is not started three times after three crashes": is_bounded,
            "a task whose workers were only silent is not given up": (
                silence_is_no_crash
            ),
        },
        goal=has_ended,
        witnesses={
            "an entry other than the first owner gives the task up": lambda fields: (
                fields["gives_up"] and fields["owner"] == 1
            ),
        },
        canonical=canonical,
    )
)

_mutation = functools.partial(spec.mutation, "crashing")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("crashes are not counted")(_off("counts_crashes"))
_mutation("lost attempts are not counted", Bounds(faults=3))(_off("counts_losses"))
_mutation("only the owner hears of a crash")(_off("tells_all"))
_mutation("crashes are not repeated on a new link")(_off("repeats"))
_mutation("a restarted agent forgets crashes", Bounds(faults=3))(_off("keeps_copy"))
_mutation("a lost attempt counts as a crash", _SILENCE)(_off("needs_proof"))

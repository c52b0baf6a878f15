"""The graceful leave of an upstream from the agent beside it.

The upstream asks to leave.  The agent accepts no more tasks, waits until the starts in
flight have arrived, and acknowledges.  The upstream finishes its running tasks and
exits.  A renewal of its lease may arrive late.  What a restarted agent may report about
its earlier incarnation is part of `ownership`.
"""

import dataclasses
import functools
import typing

from jujubeglade.model import spec

SERVING = "serving"
LEAVING = "leaving"
LEFT = "left"
EXITED = "exited"


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      stops_at_leave: The agent accepts no task for a leaving upstream.
      refuses_queued: The agent refuses tasks that are queued when the upstream leaves.
      waits_for_starts: The agent acknowledges once no start is in flight.
      leave_is_final: A late renewal does not reopen the lease of an upstream that left.
      waits_for_running: The upstream exits only once no task runs.
      waits_for_acknowledgement: The upstream exits only once its leave is acknowledged.
    """

    stops_at_leave: bool = True
    refuses_queued: bool = True
    waits_for_starts: bool = True
    leave_is_final: bool = True
    waits_for_running: bool = True
    waits_for_acknowledgement: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      tasks: The number of tasks that owners place on the agent.
    """

    tasks: int


class State(typing.NamedTuple):
    """The whole system.

    The integers count the tasks in each state: on their way to the agent, queued there,
    on their way to the upstream, running, finished, and refused.  `arrived_late` and
    `was_cut` tell whether a task arrived after the leave was acknowledged, and whether
    the exit of the upstream cut one.
    """

    upstream: str
    accepting: bool
    offered: int
    queued: int
    starting: int
    running: int
    finished: int
    refused: int
    arrived_late: bool
    was_cut: bool


ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


def initial(setting):
    """Return the state in which no task has arrived at the agent."""
    return State(SERVING, True, setting.bounds.tasks, 0, 0, 0, 0, 0, False, False)


@_action("accept", "jujubeglade.agent.executor:Executor._accept")
def accept(setting, state):
    """The agent accepts a task, or refuses it when the upstream is leaving."""
    if not state.offered:
        return
    if state.accepting or not setting.rules.stops_at_leave:
        following = state._replace(queued=state.queued + 1)
        yield "agent accepts", following._replace(offered=state.offered - 1)
    else:
        following = state._replace(refused=state.refused + 1)
        yield "agent refuses", following._replace(offered=state.offered - 1)


@_action("send_start", "jujubeglade.agent.executor:Executor._start_attempt")
def send_start(setting, state):
    """The agent starts a queued task, or refuses it when the upstream is leaving."""
    if not state.queued:
        return
    following = state._replace(queued=state.queued - 1)
    if state.accepting or not setting.rules.refuses_queued:
        yield "agent starts", following._replace(starting=state.starting + 1)
    else:
        yield (
            "agent refuses a queued task",
            following._replace(refused=state.refused + 1),
        )


@_action("arrive", "jujubeglade.agent.upstream:Upstream.call")
def arrive(setting, state):
    """A start arrives at the upstream."""
    if not state.starting:
        return
    following = state._replace(
        starting=state.starting - 1,
        arrived_late=state.arrived_late or state.upstream == LEFT,
        was_cut=state.was_cut or state.upstream == EXITED,
    )
    yield "upstream runs", following._replace(running=state.running + 1)


@_action("finish", "jujubeglade.agent.executor:Executor._finish_attempt")
def finish(setting, state):
    """A task ends and the agent receives its answer."""
    if state.running and state.upstream != EXITED:
        following = state._replace(running=state.running - 1)
        yield "task ends", following._replace(finished=state.finished + 1)


@_action("leave", "jujubeglade.agent.announce:_Handlers.leave")
def leave(setting, state):
    """The upstream asks to leave; from then on the agent accepts no task for it."""
    if state.upstream == SERVING:
        yield "upstream leaves", state._replace(upstream=LEAVING, accepting=False)


@_action("acknowledge", "jujubeglade.agent.announce:_Handlers.leave")
def acknowledge(setting, state):
    """The agent acknowledges the leave."""
    if state.upstream != LEAVING:
        return
    if state.starting == 0 or not setting.rules.waits_for_starts:
        yield "agent acknowledges", state._replace(upstream=LEFT)


@_action("late_renewal", "jujubeglade.agent.announce:_Handlers.renew")
def late_renewal(setting, state):
    """A renewal that was sent before the leave arrives after it."""
    if state.upstream != SERVING and not setting.rules.leave_is_final:
        yield "late renewal", state._replace(accepting=True)


@_action("exit", "jujubeglade.fakes.upstream:FakeUpstream.leave")
def exit_upstream(setting, state):
    """The upstream's process ends."""
    if state.upstream == EXITED or state.upstream == SERVING:
        return
    if state.upstream == LEAVING and setting.rules.waits_for_acknowledgement:
        return
    if state.running and setting.rules.waits_for_running:
        return
    was_cut = state.was_cut or state.running > 0
    yield "upstream exits", state._replace(upstream=EXITED, was_cut=was_cut)


def no_late_work(fields):
    """Tell whether no task arrived after the leave was acknowledged."""
    return not fields["arrived_late"]


def nothing_cut(fields):
    """Tell whether no task was cut by the exit of the upstream."""
    return not fields["was_cut"]


def has_left(fields):
    """Tell whether the upstream has exited and every task was finished or refused."""
    ended = fields["finished"] + fields["refused"]
    unfinished = fields["offered"] + fields["queued"] + fields["starting"]
    return fields["upstream"] == EXITED and ended > 0 and unfinished == 0


_SMALL = Bounds(tasks=2)

SPECIFICATION = spec.register(
    spec.Specification(
        name="leave",
        rules=Rules(),
        bounds={"small": (_SMALL,), "full": (Bounds(tasks=6),)},
        mutation_bounds=_SMALL,
        progress_bounds=(Bounds(tasks=6),),
        actions=tuple(ACTIONS),
        initial=initial,
        invariants={
            "no task arrives after the leave": no_late_work,
            "no request is cut": nothing_cut,
        },
        goal=has_left,
        witnesses={
            "some tasks finish and others are refused": lambda fields: (
                fields["upstream"] == EXITED
                and fields["finished"] > 0
                and fields["refused"] > 0
            ),
        },
    )
)

_mutation = functools.partial(spec.mutation, "leave")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("the agent accepts tasks for a leaving upstream")(
    lambda rules: dataclasses.replace(rules, stops_at_leave=False, refuses_queued=False)
)
spec.relaxation(
    "leave", "tasks are accepted after the leave but refused before their start"
)(_off("stops_at_leave"))
_mutation("queued tasks are started after the leave")(_off("refuses_queued"))
_mutation("a leave is acknowledged while starts are in flight")(
    _off("waits_for_starts")
)
_mutation("a late renewal reopens the lease")(_off("leave_is_final"))
_mutation("the upstream exits while tasks run")(_off("waits_for_running"))
_mutation("the upstream exits before the acknowledgement")(
    _off("waits_for_acknowledgement")
)

"""Shrinking: no start exceeds room that shrank long ago.

A worker's room may shrink while it runs. It reports its room at an interval; a report
may be lost or long under way, its agent may be suspended, which its monotonic clock
does not count, or restart and read the last report that the store has. An agent starts
tasks by the room in the last report while that is not too old.
"""

import dataclasses
import functools
import typing

from jujubeglade.model import spec

#: The age of a report, in ticks, up to which it is relied on.
_VALID = 2
#: A start may exceed room that shrank at most this many ticks ago.
_ALLOWED = 2
#: Ages are counted up to this.
_LONG = 4
_FULL_ROOM = 2
_SMALL_ROOM = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      limits_age: An agent relies on a report for a limited time only.
      counts_suspension: The age of a report counts while the agent is suspended.
      dates_report: A report tells when it was made, not only when it arrived.
      dates_copy: The copy in the store tells it too.
      counts_stopping: A task that is being stopped still uses room.
    """

    limits_age: bool = True
    counts_suspension: bool = True
    dates_report: bool = True
    dates_copy: bool = True
    counts_stopping: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      faults: An integer, how often a report is lost or held up, or the agent is
        suspended or restarted.
    """

    faults: int = 3


class Report(typing.NamedTuple):
    """A report: the room in it, and the ticks since it was made and arrived."""

    room: int
    made: int = 0
    arrived: int = 0


class State(typing.NamedTuple):
    """The whole system.

    `shrunk` has the ticks since the room has shrunk; `runs` and `stopping` are the
    worker's tasks; `held_up` is a report that is under way, or None.
    """

    room: int
    shrunk: int
    runs: int
    stopping: int
    report: Report
    copy: Report
    held_up: typing.Any
    suspended: bool
    faults: int
    exceeded: bool


ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)
_RUNNER = "jujubeglade.direct.runner:Runner."
_WORKER = "jujubeglade.fakes.direct_worker:SimulatedWorker."


def initial(setting):
    """Return the state in which an idle worker has just reported."""
    report = Report(_FULL_ROOM)
    return State(
        _FULL_ROOM,
        0,
        0,
        0,
        report,
        report,
        None,
        False,
        setting.bounds.faults,
        False,
    )


def _age(rules, report):
    return report.made if rules.dates_report else report.arrived


@_action("start", _RUNNER + "_admit")
def _start(setting, state):
    rules = setting.rules
    if state.suspended:
        return
    if rules.limits_age and _age(rules, state.report) > _VALID:
        return
    used = state.runs + (state.stopping if rules.counts_stopping else 0)
    if used >= state.report.room:
        return
    is_over = state.runs + state.stopping >= state.room
    has_shrunk_long_ago = state.room == _FULL_ROOM or state.shrunk > _ALLOWED
    yield (
        "start",
        state._replace(
            runs=state.runs + 1,
            exceeded=state.exceeded or (is_over and has_shrunk_long_ago),
        ),
    )


@_action("stop", _RUNNER + "_halt")
def _stop(setting, state):
    if state.runs and not state.suspended:
        yield (
            "stop",
            state._replace(runs=state.runs - 1, stopping=state.stopping + 1),
        )


@_action("end", _RUNNER + "_end")
def _end(setting, state):
    if state.runs:
        yield "end of a task", state._replace(runs=state.runs - 1)
    if state.stopping:
        yield "end of a stop", state._replace(stopping=state.stopping - 1)


@_action("shrink", _WORKER + "resize")
def _shrink(setting, state):
    if state.room == _FULL_ROOM:
        yield "shrink", state._replace(room=_SMALL_ROOM, shrunk=0)


@_action("report", _RUNNER + "on_report")
def _report(setting, state):
    if state.suspended:
        return
    report = Report(state.room)
    yield "report", state._replace(report=report, copy=report)
    if state.faults and state.held_up is None:
        yield (
            "a report is held up",
            state._replace(held_up=report, faults=state.faults - 1),
        )


@_action("late report", _RUNNER + "on_report")
def _late_report(setting, state):
    if state.held_up is None or state.suspended:
        return
    # Later reports were lost, so that it is the newest one.
    if state.held_up.made <= state.report.made:
        arrived = state.held_up._replace(arrived=0)
        yield "a late report", state._replace(report=arrived, held_up=None)


@_action("suspend", "jujubeglade.fakes.virtual_process:Process.freeze")
def _suspend(setting, state):
    if state.suspended:
        yield "resume", state._replace(suspended=False)
    elif state.faults:
        yield "suspend", state._replace(suspended=True, faults=state.faults - 1)


@_action("restart", "jujubeglade.direct.report_cache:ReportCache._read")
def _restart(setting, state):
    if not state.faults or state.suspended or state.runs or state.stopping:
        return
    copy = state.copy
    if not setting.rules.dates_copy:
        copy = copy._replace(made=0, arrived=0)
    yield "restart", state._replace(report=copy, faults=state.faults - 1)


@_action("tick", "jujubeglade.fakes.virtual:VirtualLoop")
def _tick(setting, state):
    report = _older(state.report)
    if state.suspended and not setting.rules.counts_suspension:
        report = state.report
    yield (
        "tick",
        state._replace(
            shrunk=min(_LONG, state.shrunk + 1),
            report=report,
            copy=_older(state.copy),
            held_up=state.held_up and _older(state.held_up),
        ),
    )


def _older(report):
    made = min(_LONG, report.made + 1)
    return report._replace(made=made, arrived=min(_LONG, report.arrived + 1))


def within_room(fields):
    """Tell whether no start exceeded room that shrank long ago."""
    return not fields["exceeded"]


def is_small_and_busy(fields):
    """Tell whether a worker that has shrunk runs a task."""
    return fields["room"] == _SMALL_ROOM and fields["runs"] == 1


_SMALL = Bounds(faults=2)
_FULL = Bounds()

SPECIFICATION = spec.register(
    spec.Specification(
        name="shrinking",
        rules=Rules(),
        bounds={"small": (_SMALL,), "full": (_FULL,)},
        mutation_bounds=_SMALL,
        progress_bounds=(_SMALL,),
        actions=tuple(ACTIONS),
        initial=initial,
        invariants={"no start exceeds room that shrank long ago": within_room},
        goal=is_small_and_busy,
        witnesses={
            "a worker that has just shrunk runs more than its room": lambda fields: (
                fields["runs"] + fields["stopping"] > fields["room"]
            ),
        },
    )
)

_mutation = functools.partial(spec.mutation, "shrinking")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("a report of any age is relied on")(_off("limits_age"))
_mutation("a report does not age while the agent is suspended")(
    _off("counts_suspension")
)
_mutation("a report is as old as its arrival")(_off("dates_report"))
_mutation("the copy in the store has no date")(_off("dates_copy"))
_mutation("what is being stopped does not count")(_off("counts_stopping"))

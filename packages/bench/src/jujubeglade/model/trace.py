"""Check recorded events of real processes against the rules of the model.

The specifications show that the design is right; a trace shows whether real processes
conform to it.  Each process records its actions in order; after a run the check reads
the records of all processes.

    violations = trace.check(events)

| kind         | recorded by | when, and the fields used                              |
|--------------|-------------|--------------------------------------------------------|
| `accepted`   | owner       | it became the owner of the job; `tasks`                |
| `placed`     | owner       | it sent an attempt to `target`                         |
| `claim_sent` | owner       | it sent a claim of the job to `target`                 |
| `answered`   | owner       | it gave its final answer; an event per task, `outcome` |
| `started`    | executor    | the upstream started the attempt; `zone`               |
| `rejected`   | executor    | it promised never to start the attempt                 |
| `finished`   | executor    | the upstream answered                                  |
| `claimed`    | executor    | it answered a claim and raised its fence               |
| `fenced`     | executor    | it refused a request of an outdated owner              |
| `closed`     | executor    | it closed the job                                      |
| `permit`     | executor    | it received a permit; `until_ms`, `revision`           |
| `refused`    | entry       | it refused a submission; `outcome`                     |
| `drained`    | entry       | a drain of `zone` was accepted under `revision`        |
| `in_force`   | entry       | it reported `revision` as in force for `zone`          |
| `restored`   | entry       | the store recorded the end of the drain of `zone`      |
| `revision`   | any         | it applied `revision`                                  |
"""

import collections
import dataclasses
import enum
import typing


class Kind(enum.StrEnum):
    """What a process recorded; see the module's table."""

    ACCEPTED = "accepted"
    PLACED = "placed"
    CLAIM_SENT = "claim_sent"
    ANSWERED = "answered"
    STARTED = "started"
    REJECTED = "rejected"
    FINISHED = "finished"
    CLAIMED = "claimed"
    FENCED = "fenced"
    CLOSED = "closed"
    PERMIT = "permit"
    REFUSED = "refused"
    DRAINED = "drained"
    IN_FORCE = "in_force"
    RESTORED = "restored"
    REVISION = "revision"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One record of one process; fields that its kind does not use have their defaults.

    Attributes:
      wall_ms: An integer, the wall clock in ms since 1970.
      process: A string, the process that recorded the event.
      kind: A Kind.
      incarnation: A string, the incarnation of the process.
      job: A string, the job key.
      task: An integer, the task's index in its job.
      generation: An integer, the generation of the owner that the event is about.
      attempt: An integer, the number of the attempt in its generation.
      repeatable: A boolean, whether the task may be repeated.
      tasks: An integer, how many tasks the job has.
      target: A string, the process to which a message was sent.
      outcome: A string: ran, not_run, request_not_run, may_have_run, unknown.
      zone: A string, the availability zone that the event is about.
      revision: An integer, the revision of the configuration.
      until_ms: An integer, the wall clock at which a permit ends.
    """

    wall_ms: int
    process: str
    kind: Kind
    incarnation: str = ""
    job: str = ""
    task: int = 0
    generation: int = 0
    attempt: int = 0
    repeatable: bool = False
    tasks: int = 0
    target: str = ""
    outcome: str = ""
    zone: str = ""
    revision: int = 0
    until_ms: int = 0

    @property
    def attempt_key(self):
        """The identity of the attempt among those of all jobs, a tuple."""
        return self.job, self.task, self.generation, self.attempt

    @property
    def process_incarnation(self):
        """The process that recorded the event, and its incarnation, a tuple."""
        return self.process, self.incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule.

    Attributes:
      rule: A string, the name of the rule.
      event: The Event that breaks the rule.
      message: A string that says what is wrong.
    """

    rule: str
    event: Event
    message: str


class Rule(typing.NamedTuple):
    """A rule; `violations` is a function of events that yields (event, message)."""

    name: str
    violations: typing.Callable


RULES = []


def rule(name):
    """Return a decorator that adds a function to the rules.

    Args:
      name: A string, the name of the rule in its violations.
    """

    def decorate(function):
        RULES.append(Rule(name, function))
        return function

    return decorate


def check(events):
    """Check a trace against every rule.

    Args:
      events: An iterable of Events; those of each process are in its own order.

    Returns:
      A tuple of Violations, in the order of the rules.
    """
    events = list(events)
    return tuple(
        Violation(a_rule.name, event, message)
        for a_rule in RULES
        for event, message in a_rule.violations(events)
    )


def _of_kinds(events, *kinds):
    return [event for event in events if event.kind in kinds]


@rule("one start")
def _one_start(events):
    """A task starts once; if it is repeatable, each of its attempts starts once."""
    first_starts = {}
    for event in _of_kinds(events, Kind.STARTED):
        key = event.attempt_key if event.repeatable else event.attempt_key[:2]
        first = first_starts.setdefault(key, event)
        if first is not event:
            yield event, f"{_task(event)} had already started on {first.process}"


@rule("a rejected attempt never starts")
def _rejected_never_starts(events):
    """A rejected attempt never starts, neither before its rejection nor after it."""
    rejected = {event.attempt_key: event for event in _of_kinds(events, Kind.REJECTED)}
    for event in _of_kinds(events, Kind.STARTED):
        rejection = rejected.get(event.attempt_key)
        if rejection is not None and rejection.process == event.process:
            yield event, f"{_attempt(event)} started although it was rejected"


@rule("the fence holds")
def _fence_holds(events):
    """No incarnation of an executor starts a generation below its fence."""
    fences = collections.defaultdict(int)
    for event in events:
        key = (*event.process_incarnation, event.job)
        if event.kind == Kind.CLAIMED:
            fences[key] = max(fences[key], event.generation)
        if event.kind == Kind.STARTED and event.generation < fences[key]:
            yield event, f"{_attempt(event)} started below the fence {fences[key]}"


@rule("a closed job stays closed")
def _closed_stays_closed(events):
    """No incarnation of an executor starts a task of a job that it closed."""
    closed = set()
    for event in events:
        key = (*event.process_incarnation, event.job)
        if event.kind == Kind.CLOSED:
            closed.add(key)
        if event.kind == Kind.STARTED and key in closed:
            yield event, f"{_attempt(event)} started after the job was closed there"


@rule("the home places elsewhere")
def _home_places_elsewhere(events):
    """A home never places a task on itself unless the task may be repeated."""
    for event in _of_kinds(events, Kind.PLACED):
        if event.generation or event.repeatable:
            continue
        if event.target == event.process:
            yield event, f"{_attempt(event)} was placed by the home on itself"


@rule("not_run is true")
def _not_run_is_true(events):
    """A task or job with the outcome `not_run` starts neither before nor after it."""
    tasks = set()
    jobs = set()
    for event in _of_kinds(events, Kind.ANSWERED, Kind.REFUSED):
        if event.outcome != "not_run":
            continue
        if event.kind == Kind.REFUSED:
            jobs.add(event.job)
        else:
            tasks.add((event.job, event.task))
    for event in _of_kinds(events, Kind.STARTED):
        if (event.job, event.task) in tasks or event.job in jobs:
            yield (
                event,
                f"{_task(event)} started, but its outcome was reported as not_run",
            )


@rule("ran is true")
def _ran_is_true(events):
    """A task with the outcome `ran` has finished on some executor."""
    finished = {event.attempt_key[:2] for event in _of_kinds(events, Kind.FINISHED)}
    for event in _of_kinds(events, Kind.ANSWERED):
        if event.outcome == "ran" and event.attempt_key[:2] not in finished:
            yield event, f"{_task(event)} was answered as ran but never finished"


@rule("answers are complete")
def _answers_are_complete(events):
    """A final answer of an owner includes every task of the job."""
    sizes = {event.job: event.tasks for event in _of_kinds(events, Kind.ACCEPTED)}
    answers = collections.defaultdict(dict)
    for event in _of_kinds(events, Kind.ANSWERED):
        answers[(*event.process_incarnation, event.job)][event.task] = event
    for (*_, job), by_task in answers.items():
        size = sizes.get(job, 0)
        last = list(by_task.values())[-1]
        answered = set(by_task) & set(range(size))
        if len(answered) != size or len(by_task) != size:
            yield last, f"the answer of {job} has {len(answered)} of {size} tasks"


@rule("revisions never decrease")
def _revisions_never_decrease(events):
    """No incarnation of a process returns to an older revision."""
    highest = collections.defaultdict(int)
    for event in _of_kinds(events, Kind.REVISION, Kind.PERMIT):
        latest = highest[event.process_incarnation]
        if event.revision < latest:
            yield (
                event,
                f"{event.process} went from revision {latest} to {event.revision}",
            )
        highest[event.process_incarnation] = max(latest, event.revision)


@rule("starts are permitted")
def _starts_are_permitted(events):
    """A start precedes the end of a permit of the same incarnation."""
    permitted_until_ms = collections.defaultdict(int)
    for event in _of_kinds(events, Kind.PERMIT, Kind.STARTED):
        if event.kind == Kind.PERMIT:
            permitted_until_ms[event.process_incarnation] = max(
                permitted_until_ms[event.process_incarnation], event.until_ms
            )
        elif event.wall_ms > permitted_until_ms[event.process_incarnation]:
            yield event, f"{_attempt(event)} started without a permit"


@rule("a drain in force was accepted")
def _in_force_was_accepted(events):
    """A drain is in force only after it was accepted under that revision."""
    accepted = {
        (event.zone, event.revision) for event in _of_kinds(events, Kind.DRAINED)
    }
    for event in _of_kinds(events, Kind.IN_FORCE):
        if (event.zone, event.revision) not in accepted:
            yield (
                event,
                f"the drain of {event.zone} at {event.revision} was not accepted",
            )


@rule("no start in a drained zone")
def _no_start_in_drained_zone(events):
    """Once a drain is in force, nothing starts in its zone until it is restored.

    The report that an older drain is in force may follow a later restore; the zone is
    not drained then.
    """
    drained = set()
    restored = collections.defaultdict(int)
    ordered = _of_kinds(events, Kind.IN_FORCE, Kind.RESTORED, Kind.STARTED)
    for event in sorted(ordered, key=lambda event: event.wall_ms):
        if event.kind == Kind.IN_FORCE:
            if event.revision >= restored[event.zone]:
                drained.add(event.zone)
        elif event.kind == Kind.RESTORED:
            drained.discard(event.zone)
            restored[event.zone] = max(restored[event.zone], event.revision)
        elif event.zone in drained:
            yield event, f"{_attempt(event)} started in {event.zone}, which is drained"


def _task(event):
    return f"task {event.job}-{event.task}"


def _attempt(event):
    return f"attempt {event.job}-{event.task}.{event.generation}.{event.attempt}"

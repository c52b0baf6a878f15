"""Check recorded events of real processes against the rules of the model.

The specifications show that the design is right; a trace shows whether processes keep
to it.  Each process records what it did, in its own order; the check reads the records
of all of them after a run.

    violations = trace.check(events)

| kind         | recorded by | when, and the fields that matter                       |
|--------------|-------------|--------------------------------------------------------|
| `accepted`   | owner       | it took the job over; `tasks`                          |
| `placed`     | owner       | it sent an attempt to `target`                         |
| `claim_sent` | owner       | it claimed the job from `target`                       |
| `answered`   | owner       | it gave a final answer: one event a task, `outcome`    |
| `started`    | executor    | the upstream started the attempt; `zone`               |
| `rejected`   | executor    | it promised never to start the attempt                 |
| `finished`   | executor    | the upstream answered                                  |
| `claimed`    | executor    | it answered a claim and raised its fence               |
| `fenced`     | executor    | it turned an owner's frame away                        |
| `closed`     | executor    | it closed the job                                      |
| `permit`     | executor    | it took a permit that ends at `until_ms`; `revision`   |
| `refused`    | entry       | it refused a submission; `outcome`                     |
| `drained`    | entry       | a drain of `zone` was accepted under `revision`        |
| `in_force`   | entry       | it said that `revision` is in force for `zone`         |
| `restored`   | entry       | a change that brings `zone` back entered the store     |
| `revision`   | any         | it applied `revision`                                  |
"""

import collections
import dataclasses
import enum
import typing


class Kind(enum.StrEnum):
    """What a process did; see the module's table."""

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
    """One record of one process; fields that a kind does not need stay empty.

    Attributes:
      wall_ms: An integer, the wall clock in ms since 1970.
      process: A string, the process that recorded the event.
      kind: A Kind.
      incarnation: A string, which life of the process this is.
      job: A string, the job key.
      task: An integer, the task's index in its job.
      generation: An integer, the generation of the owner concerned.
      attempt: An integer, the number of the attempt in its generation.
      repeatable: Whether the task may be repeated.
      tasks: An integer, how many tasks the job has.
      target: A string, the process that a frame went to.
      outcome: A string: ran, not_run, request_not_run, may_have_run, unknown.
      zone: A string, the availability zone concerned.
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
        """The attempt among all attempts of all jobs."""
        return self.job, self.task, self.generation, self.attempt

    @property
    def process_incarnation(self):
        """The life of the process that recorded the event."""
        return self.process, self.incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule.

    Attributes:
      rule: A string, the name of the rule.
      event: The Event at which it shows.
      message: A string, one sentence on what is wrong.
    """

    rule: str
    event: Event
    message: str


class Rule(typing.NamedTuple):
    """A named rule; `violations` yields (event, sentence) for a list of events."""

    name: str
    violations: typing.Callable


RULES = []


def rule(name):
    """Return a decorator that files a function as a rule.

    Args:
      name: The name that violations carry.
    """

    def decorate(function):
        RULES.append(Rule(name, function))
        return function

    return decorate


def check(events):
    """Check a trace against every rule.

    Args:
      events: An iterable of Event, those of each process in its own order.

    Returns:
      A tuple of Violation, in the order of the rules.
    """
    events = list(events)
    return tuple(
        Violation(each.name, event, message)
        for each in RULES
        for event, message in each.violations(events)
    )


def _of(events, *kinds):
    return [event for event in events if event.kind in kinds]


@rule("one start")
def _one_start(events):
    """A task starts once; a repeatable one starts each attempt once."""
    seen = {}
    for event in _of(events, Kind.STARTED):
        key = event.attempt_key if event.repeatable else event.attempt_key[:2]
        first = seen.setdefault(key, event)
        if first is not event:
            yield event, f"{_task(event)} had already started on {first.process}"


@rule("a reject is a promise")
def _reject_is_promise(events):
    """An attempt that was rejected never starts, before or after."""
    rejected = {event.attempt_key: event for event in _of(events, Kind.REJECTED)}
    for event in _of(events, Kind.STARTED):
        promise = rejected.get(event.attempt_key)
        if promise is not None and promise.process == event.process:
            yield event, f"{_attempt(event)} started although it was rejected"


@rule("the fence holds")
def _fence_holds(events):
    """No life of an executor starts below a generation that it answered."""
    fences = collections.defaultdict(int)
    for event in events:
        key = (*event.process_incarnation, event.job)
        if event.kind == Kind.CLAIMED:
            fences[key] = max(fences[key], event.generation)
        if event.kind == Kind.STARTED and event.generation < fences[key]:
            yield event, f"{_attempt(event)} started below the fence {fences[key]}"


@rule("a closed job stays closed")
def _closed_stays_closed(events):
    """No life of an executor starts a task of a job that it closed."""
    closed = set()
    for event in events:
        key = (*event.process_incarnation, event.job)
        if event.kind == Kind.CLOSED:
            closed.add(key)
        if event.kind == Kind.STARTED and key in closed:
            yield event, f"{_attempt(event)} started after the job was closed there"


@rule("the home places elsewhere")
def _home_places_elsewhere(events):
    """A home never places a task that may not be repeated on itself."""
    for event in _of(events, Kind.PLACED):
        if event.generation or event.repeatable:
            continue
        if event.target == event.process:
            yield event, f"{_attempt(event)} was placed by the home on itself"


@rule("not_run is true")
def _not_run_is_true(events):
    """What was answered or refused as `not_run` starts neither before nor after."""
    tasks = set()
    jobs = set()
    for event in _of(events, Kind.ANSWERED, Kind.REFUSED):
        if event.outcome != "not_run":
            continue
        if event.kind == Kind.REFUSED:
            jobs.add(event.job)
        else:
            tasks.add((event.job, event.task))
    for event in _of(events, Kind.STARTED):
        if (event.job, event.task) in tasks or event.job in jobs:
            yield event, f"{_task(event)} started, but `not_run` was said of it"


@rule("ran is true")
def _ran_is_true(events):
    """What was answered as `ran` has finished somewhere."""
    finished = {event.attempt_key[:2] for event in _of(events, Kind.FINISHED)}
    for event in _of(events, Kind.ANSWERED):
        if event.outcome == "ran" and event.attempt_key[:2] not in finished:
            yield event, f"{_task(event)} was answered as ran but never finished"


@rule("answers are whole")
def _answers_are_whole(events):
    """A final answer of an owner names every task of the job."""
    sizes = {event.job: event.tasks for event in _of(events, Kind.ACCEPTED)}
    answers = collections.defaultdict(dict)
    for event in _of(events, Kind.ANSWERED):
        answers[(*event.process_incarnation, event.job)][event.task] = event
    for (*_, job), by_task in answers.items():
        size = sizes.get(job, 0)
        last = list(by_task.values())[-1]
        named = set(by_task) & set(range(size))
        if len(named) != size or len(by_task) != size:
            yield last, f"the answer of {job} has {len(named)} of {size} tasks"


@rule("revisions rise")
def _revisions_rise(events):
    """No life of a process goes back to an older revision."""
    highest = collections.defaultdict(int)
    for event in _of(events, Kind.REVISION, Kind.PERMIT):
        known = highest[event.process_incarnation]
        if event.revision < known:
            yield event, f"{event.process} went from {known} to {event.revision}"
        highest[event.process_incarnation] = max(known, event.revision)


@rule("starts are permitted")
def _starts_are_permitted(events):
    """A start happens before the end of a permit of the same life."""
    until = collections.defaultdict(int)
    for event in _of(events, Kind.PERMIT, Kind.STARTED):
        if event.kind == Kind.PERMIT:
            until[event.process_incarnation] = max(
                until[event.process_incarnation], event.until_ms
            )
        elif event.wall_ms > until[event.process_incarnation]:
            yield event, f"{_attempt(event)} started without a permit"


@rule("in force follows accepted")
def _in_force_follows_accepted(events):
    """A drain is in force only after it was accepted under that revision."""
    accepted = {(event.zone, event.revision) for event in _of(events, Kind.DRAINED)}
    for event in _of(events, Kind.IN_FORCE):
        if (event.zone, event.revision) not in accepted:
            yield event, f"{event.zone} is in force at {event.revision}, not accepted"


@rule("no start in a drained zone")
def _no_start_in_drained_zone(events):
    """After a drain is in force nothing starts in its zone until it is restored.

    An answer to an older drain may come after a later restore; it drains nothing.
    """
    drained = set()
    restored = collections.defaultdict(int)
    ordered = _of(events, Kind.IN_FORCE, Kind.RESTORED, Kind.STARTED)
    for event in sorted(ordered, key=lambda each: each.wall_ms):
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

"""Ownership of a job and at-most-once starts, with one task.

The state holds the candidates of a ticket, the owners (home and successors), and every
message ever sent.  A message of that set may be delivered at any later time, again, or
never: this covers delay, reordering, duplicates and loss.  An owner reads a reply by
looking into the set; it decides only on replies that are there, so whatever it does
without one is a timeout that may fire at any time.

Each message carries its kind, since named tuples of equal fields are equal.

    candidate 0 is the agent of successor 1, candidate 1 that of successor 2, ...

A candidate that is ``None`` is gone: a crash, or a restart, since the new incarnation
refuses frames for the old one and so says nothing about it.
"""

import dataclasses
import functools
import typing

from jujubeglade.model import spec

NOT_RUN = "not_run"
MAY_HAVE_RUN = "may_have_run"
RAN = "ran"

IDLE = "idle"
ACTIVE = "active"
CLOSING = "closing"
OVER = "over"

ACCEPTED = "accepted"
STARTED = "started"
FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The mechanisms of the design; each field is one of them.

    Attributes:
      tombstones: A refused or denied attempt is never started later.
      accept_once: A task that may not be repeated is accepted once by an executor.
      needs_all: A successor starts only after every candidate has answered.
      raises_fence: A claim raises the fence of the candidate that answers it.
      checks_fence: A candidate refuses places of a generation below its fence.
      close_checks_fence: A candidate refuses a close below its fence.
      forgets_incarnation: A restarted agent refuses frames for its former life.
      resolves_attempts: The next attempt waits for the refusal of the former.
      home_places_elsewhere: The home never starts a task on its own machine.
      successor_places_elsewhere: A successor never does so either.
      closes_before_not_run: An owner closes the job somewhere before `not_run`.
      close_is_obeyed: A closed candidate starts nothing and says so to a claim.
    """

    tombstones: bool = True
    accept_once: bool = True
    needs_all: bool = True
    raises_fence: bool = True
    checks_fence: bool = True
    close_checks_fence: bool = True
    forgets_incarnation: bool = True
    resolves_attempts: bool = True
    home_places_elsewhere: bool = True
    successor_places_elsewhere: bool = True
    closes_before_not_run: bool = True
    close_is_obeyed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The sizes of a run.

    Attributes:
      candidates: The number of candidates.
      attempts: The attempts that each generation may make; its length is the number
        of owners.
      crashes: The number of processes that may crash.
    """

    candidates: int
    attempts: tuple
    crashes: int


class Attempt(typing.NamedTuple):
    """One try of the task; generations number their attempts apart."""

    generation: int
    number: int


class Executor(typing.NamedTuple):
    """What a candidate remembers of the job."""

    fence: int = 0
    closed: bool = False
    held: Attempt | None = None
    phase: str = ""
    promised: frozenset = frozenset()


class Owner(typing.NamedTuple):
    """One generation: its phase and the candidates that its attempts went to."""

    phase: str = IDLE
    placed: tuple = ()


class State(typing.NamedTuple):
    """The whole system."""

    executors: tuple
    owners: tuple
    messages: frozenset
    answers: frozenset
    starts: int
    finished: bool
    crashes: int
    calm: bool


class Place(typing.NamedTuple):
    """An owner asks a candidate to start an attempt."""

    attempt: Attempt
    candidate: int
    kind: str = "place"


class Refused(typing.NamedTuple):
    """The promise that an attempt never starts."""

    attempt: Attempt
    kind: str = "refused"


class Finished(typing.NamedTuple):
    """The result of the task; it goes to whichever owner asks."""

    attempt: Attempt
    kind: str = "finished"


class Claim(typing.NamedTuple):
    """A successor asks every candidate, raising its fence."""

    generation: int
    kind: str = "claim"


class Claimed(typing.NamedTuple):
    """A candidate's answer to a claim."""

    generation: int
    candidate: int
    held: Attempt | None
    closed: bool
    kind: str = "claimed"


class Close(typing.NamedTuple):
    """An owner asks candidates to start nothing more of the job."""

    generation: int
    kind: str = "close"


class Closed(typing.NamedTuple):
    """A candidate has closed the job for this generation."""

    generation: int
    candidate: int
    kind: str = "closed"


class Fenced(typing.NamedTuple):
    """A candidate told an owner that a later generation exists."""

    generation: int
    kind: str = "fenced"


_REPLIES = (Claimed, Closed, Fenced)

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


def initial(setting):
    """Return the state in which nobody has heard of the job."""
    bounds = setting.bounds
    return State(
        executors=(Executor(),) * bounds.candidates,
        owners=(Owner(),) * len(bounds.attempts),
        messages=frozenset(),
        answers=frozenset(),
        starts=0,
        finished=False,
        crashes=0,
        calm=False,
    )


# Entries.


@_action("submit", "jujubeglade.entry.submission")
def submit(setting, state):
    """An entry submits to a generation, the next one on any suspicion."""
    for generation, owner in enumerate(state.owners):
        if owner.phase != IDLE:
            continue
        if state.calm and not _needs_successor(state, generation):
            continue
        phase = _with_owner(state, generation, owner._replace(phase=ACTIVE))
        if generation:
            phase = _send(phase, Claim(generation))
        yield f"submit g{generation}", phase


def _needs_successor(state, generation):
    """Tell whether all generations before this one are gone or fenced."""
    return all(
        owner.phase == OVER or Fenced(before) in state.messages
        for before, owner in enumerate(state.owners[:generation])
    )


@_action("no_owner", "jujubeglade.entry.submission")
def no_owner(setting, state):
    """An entry that reaches no owner at all answers by itself."""
    if setting.progress and all(owner.phase == OVER for owner in state.owners):
        answers = state.answers | {MAY_HAVE_RUN}
        yield "no owner left", state._replace(answers=answers)


# Owners.


@_action("place", "jujubeglade.agent.home")
def place(setting, state):
    """An owner places the next attempt on a candidate."""
    for generation, owner in enumerate(state.owners):
        if not _may_place(setting, state, generation):
            continue
        attempt = Attempt(generation, len(owner.placed) + 1)
        for candidate in range(setting.bounds.candidates):
            if candidate == generation - 1 and setting.rules.successor_places_elsewhere:
                continue
            placed = owner._replace(placed=(*owner.placed, candidate))
            following = _with_owner(state, generation, placed)
            label = f"place {_name(attempt)} on c{candidate}"
            yield label, _send(following, Place(attempt, candidate))


def _may_place(setting, state, generation):
    """Tell whether an owner may start what, to its knowledge, nobody started."""
    owner = state.owners[generation]
    if owner.phase != ACTIVE:
        return False
    if len(owner.placed) >= setting.bounds.attempts[generation]:
        return False
    if setting.rules.resolves_attempts and not _all_refused(state, generation):
        return False
    return generation == 0 or _nobody_started(setting, state, generation)


def _all_refused(state, generation):
    """Tell whether every attempt of an owner was refused."""
    count = len(state.owners[generation].placed)
    return all(
        Refused(Attempt(generation, number)) in state.messages
        for number in range(1, count + 1)
    )


def _nobody_started(setting, state, generation):
    """Tell whether all candidates answered a claim without evidence of a start."""
    answers = _claim_answers(state, generation)
    if any(_is_evidence(state, answer) for answer in answers):
        return False
    if any(answer.closed for answer in answers):
        return False
    answered = {answer.candidate for answer in answers}
    return len(answered) == len(state.executors) or not setting.rules.needs_all


def _claim_answers(state, generation):
    return [
        message
        for message in state.messages
        if type(message) is Claimed and message.generation == generation
    ]


def _is_evidence(state, answer):
    return answer.held is not None and Refused(answer.held) not in state.messages


@_action("place_on_itself", "jujubeglade.agent.home")
def place_on_itself(setting, state):
    """A home that ignores the rule starts the task on its own machine."""
    home = state.owners[0]
    if setting.rules.home_places_elsewhere or home.phase != ACTIVE or home.placed:
        return
    following = _end_owner(state, 0)
    yield "home starts itself", following._replace(starts=min(2, state.starts + 1))


@_action("claim_again", "jujubeglade.agent.home")
def claim_again(setting, state):
    """A successor repeats its claim; only loss at the end of failures shows it."""
    for generation, owner in enumerate(state.owners):
        if generation and owner.phase in (ACTIVE, CLOSING):
            message = Claim(generation)
            if message not in state.messages:
                yield f"claim g{generation} again", _send(state, message)


@_action("answer_ran", "jujubeglade.agent.home")
def answer_ran(setting, state):
    """An owner that holds the result gives the complete answer."""
    if not any(type(message) is Finished for message in state.messages):
        return
    for generation, owner in enumerate(state.owners):
        if owner.phase in (ACTIVE, CLOSING):
            yield f"g{generation} answers ran", _answer(state, generation, RAN)


@_action("give_up", "jujubeglade.agent.home")
def give_up(setting, state):
    """On a cancel, a deadline or the last refusal an owner begins to close the job."""
    for generation, owner in enumerate(state.owners):
        closing = owner.phase == CLOSING and Close(generation) not in state.messages
        if owner.phase != ACTIVE and not closing:
            continue
        if not _surely_not_started(state, generation):
            continue
        following = _with_owner(state, generation, owner._replace(phase=CLOSING))
        yield f"g{generation} closes", _send(following, Close(generation))


def _surely_not_started(state, generation):
    """Tell whether an owner knows that nothing has started so far."""
    if not _all_refused(state, generation):
        return False
    if generation == 0:
        return True
    answers = _claim_answers(state, generation)
    if any(_is_evidence(state, answer) for answer in answers):
        return False
    return len({answer.candidate for answer in answers}) == len(state.executors)


@_action("answer_not_run", "jujubeglade.agent.home")
def answer_not_run(setting, state):
    """An owner whose close was confirmed answers that the task never runs."""
    for generation, owner in enumerate(state.owners):
        if owner.phase != CLOSING:
            continue
        confirmed = any(
            type(message) is Closed and message.generation == generation
            for message in state.messages
        )
        if confirmed or not setting.rules.closes_before_not_run:
            yield f"g{generation} answers not_run", _answer(state, generation, NOT_RUN)


@_action("answer_met_closed", "jujubeglade.agent.home")
def answer_met_closed(setting, state):
    """A successor that met the closed mark repeats the statement."""
    for generation, owner in enumerate(state.owners):
        if not generation or owner.phase not in (ACTIVE, CLOSING):
            continue
        if not _surely_not_started(state, generation):
            continue
        if any(answer.closed for answer in _claim_answers(state, generation)):
            label = f"g{generation} met closed, answers not_run"
            yield label, _answer(state, generation, NOT_RUN)


@_action("answer_unknown", "jujubeglade.agent.home")
def answer_unknown(setting, state):
    """An owner that cannot learn more answers that the task may have run."""
    for generation, owner in enumerate(state.owners):
        if owner.phase not in (ACTIVE, CLOSING):
            continue
        if state.calm and not _is_stuck(state, generation):
            continue
        label = f"g{generation} answers may_have_run"
        if setting.progress:
            yield label, _answer(state, generation, MAY_HAVE_RUN)
        else:
            yield label, _end_owner(state, generation)


def _is_stuck(state, generation):
    """Tell whether an owner asks a process that is gone, or has been fenced."""
    if Fenced(generation) in state.messages:
        return True
    if generation:
        return None in state.executors
    placed = state.owners[generation].placed
    if any(state.executors[candidate] is None for candidate in placed):
        return True
    return not any(state.executors)


# Executors.


@_action("receive_place", "jujubeglade.agent.executor")
def receive_place(setting, state):
    """A candidate accepts or refuses an attempt; a refusal is a promise."""
    for message in state.messages:
        if type(message) is not Place:
            continue
        attempt, candidate, _ = message
        executor = state.executors[candidate]
        if executor is None or executor.held == attempt:
            continue
        if attempt not in executor.promised:
            yield _refuse(state, candidate, attempt, "refuses")
        if _may_accept(setting.rules, executor, attempt):
            accepted = executor._replace(
                fence=max(executor.fence, attempt.generation),
                held=attempt,
                phase=ACCEPTED,
            )
            label = f"c{candidate} accepts {_name(attempt)}"
            yield label, _with_executor(state, candidate, accepted)


def _may_accept(rules, executor, attempt):
    """Tell whether a candidate may start an attempt."""
    if attempt in executor.promised and rules.tombstones:
        return False
    if attempt.generation < executor.fence and rules.checks_fence:
        return False
    if executor.closed and rules.close_is_obeyed:
        return False
    if executor.phase in (ACCEPTED, STARTED):
        return False
    return executor.held is None or not rules.accept_once


def _refuse(state, candidate, attempt, verb):
    executor = state.executors[candidate]
    denied = executor._replace(promised=executor.promised | {attempt})
    if executor.held == attempt:
        denied = denied._replace(held=None, phase="")
    following = _with_executor(state, candidate, denied)
    following = _send(following, Refused(attempt))
    if attempt.generation < executor.fence:
        following = _send(following, Fenced(attempt.generation))
    return f"c{candidate} {verb} {_name(attempt)}", following


@_action("start", "jujubeglade.agent.executor")
def start(setting, state):
    """A candidate starts at its upstream what it accepted."""
    for candidate, executor in enumerate(state.executors):
        if executor is not None and executor.phase == ACCEPTED:
            begun = executor._replace(phase=STARTED)
            following = _with_executor(state, candidate, begun)
            starts = min(2, state.starts + 1)
            yield f"c{candidate} starts", following._replace(starts=starts)


@_action("refuse_late", "jujubeglade.agent.executor")
def refuse_late(setting, state):
    """The upstream refused a late start (412, 429): the attempt never runs."""
    for candidate, executor in enumerate(state.executors):
        if executor is not None and executor.phase == ACCEPTED:
            yield _refuse(state, candidate, executor.held, "gives up")


@_action("finish", "jujubeglade.agent.executor")
def finish(setting, state):
    """The upstream answers; the candidate keeps the result and reports it."""
    for candidate, executor in enumerate(state.executors):
        if executor is not None and executor.phase == STARTED:
            done = executor._replace(phase=FINISHED)
            following = _with_executor(state, candidate, done)
            following = _send(following, Finished(executor.held))
            yield f"c{candidate} finishes", following._replace(finished=True)


@_action("receive_probe", "jujubeglade.agent.executor")
def receive_probe(setting, state):
    """After a cut link a candidate says what it did, and promises the rest.

    The question needs no message of its own: an owner may ask at any time what became
    of an attempt, and `receive_place` refuses late places at any time as well.
    """
    for generation, owner in enumerate(state.owners):
        for number, candidate in enumerate(owner.placed, 1):
            executor = state.executors[candidate]
            if executor is None:
                continue
            attempt = Attempt(generation, number)
            if executor.held != attempt:
                step = _refuse(state, candidate, attempt, "denies")
            elif executor.phase == FINISHED:
                step = f"c{candidate} reports", _send(state, Finished(attempt))
            else:
                continue
            if step[1] != state:
                yield step


@_action("receive_claim", "jujubeglade.agent.executor")
def receive_claim(setting, state):
    """A candidate raises its fence and tells a successor what it holds."""
    for message in state.messages:
        if type(message) is not Claim:
            continue
        for candidate, executor in enumerate(state.executors):
            if executor is None:
                continue
            step = _claimed(setting.rules, state, message.generation, candidate)
            if step is not None and step[1] != state:
                yield step


def _claimed(rules, state, generation, candidate):
    """Answer a claim; a repeated answer in the same words changes nothing."""
    executor = state.executors[candidate]
    if generation < executor.fence:
        return f"c{candidate} fences g{generation}", _send(state, Fenced(generation))
    if rules.raises_fence:
        raised = executor._replace(fence=generation)
        state = _with_executor(state, candidate, raised)
    closed = executor.closed and rules.close_is_obeyed
    state = _send(state, Claimed(generation, candidate, executor.held, closed))
    if executor.phase == FINISHED:
        state = _send(state, Finished(executor.held))
    return f"c{candidate} answers claim g{generation}", state


@_action("receive_close", "jujubeglade.agent.executor")
def receive_close(setting, state):
    """A candidate closes the job unless a later generation owns it."""
    for message in state.messages:
        if type(message) is not Close:
            continue
        generation = message.generation
        for candidate, executor in enumerate(state.executors):
            if executor is None:
                continue
            if generation < executor.fence and setting.rules.close_checks_fence:
                label = f"c{candidate} fences g{generation}"
                following = _send(state, Fenced(generation))
            else:
                label = f"c{candidate} closes for g{generation}"
                shut = executor._replace(closed=True)
                following = _with_executor(state, candidate, shut)
                following = _send(following, Closed(generation, candidate))
            if following != state:
                yield label, following


# Failures.


@_action("crash_home", "jujubeglade.daemon")
def crash_home(setting, state):
    """The home's process dies, or restarts as another incarnation."""
    if _may_crash(setting, state) and state.owners[0].phase != OVER:
        following = _end_owner(state, 0)
        yield "home crashes", following._replace(crashes=state.crashes + 1)


@_action("crash_candidate", "jujubeglade.daemon")
def crash_candidate(setting, state):
    """A candidate's process dies, and with it the successor that it may be."""
    if not _may_crash(setting, state):
        return
    for candidate, executor in enumerate(state.executors):
        if executor is None:
            continue
        left = None if setting.rules.forgets_incarnation else Executor()
        following = _with_executor(state, candidate, left)
        if candidate + 1 < len(state.owners):
            following = _end_owner(following, candidate + 1)
        crashes = state.crashes + 1
        yield f"c{candidate} crashes", following._replace(crashes=crashes)


def _may_crash(setting, state):
    return state.crashes < setting.bounds.crashes and not state.calm


@_action("failures_end", "jujubeglade.daemon")
def failures_end(setting, state):
    """Failures end; the last of them loses every message that is under way."""
    if setting.progress and not state.calm:
        yield "failures end", state._replace(calm=True, messages=frozenset())


# Changes of a state.


def _name(attempt):
    return f"a{attempt.generation}.{attempt.number}"


def _send(state, message):
    """Add a message, but for a reply that nobody is left to read."""
    if message in state.messages:
        return state
    if type(message) in _REPLIES and state.owners[message.generation].phase == OVER:
        return state
    return state._replace(messages=state.messages | {message})


def _with_owner(state, generation, owner):
    owners = state.owners
    changed = (*owners[:generation], owner, *owners[generation + 1 :])
    return state._replace(owners=changed)


def _with_executor(state, candidate, executor):
    executors = state.executors
    changed = (*executors[:candidate], executor, *executors[candidate + 1 :])
    return state._replace(executors=changed)


def _answer(state, generation, outcome):
    """Record a final answer; `may_have_run` is always true and only ends a wait."""
    answered = state._replace(answers=state.answers | {outcome})
    return _end_owner(answered, generation)


def _end_owner(state, generation):
    """End an owner, and drop the replies that nobody will read."""
    messages = frozenset(
        message
        for message in state.messages
        if type(message) not in _REPLIES or message.generation != generation
    )
    state = state._replace(messages=messages)
    return _with_owner(state, generation, Owner(phase=OVER))


# Properties.


def at_most_one_start(fields):
    """Tell whether the task has started at most once."""
    return fields["starts"] <= 1


def not_run_is_true(fields):
    """Tell whether no start goes with an answer `not_run`."""
    return NOT_RUN not in fields["answers"] or fields["starts"] == 0


def ran_is_true(fields):
    """Tell whether a complete answer follows a finished task."""
    return RAN not in fields["answers"] or fields["finished"]


def answers_agree(fields):
    """Tell whether no two final answers contradict each other."""
    return not {NOT_RUN, RAN} <= fields["answers"]


def answered(fields):
    """Tell whether the caller has a final answer."""
    return bool(fields["answers"])


_SMALL = Bounds(candidates=2, attempts=(2, 1), crashes=1)

SPECIFICATION = spec.register(
    spec.Specification(
        name="ownership",
        rules=Rules(),
        bounds={
            "small": (_SMALL,),
            "full": (
                Bounds(candidates=2, attempts=(2, 1), crashes=3),
                Bounds(candidates=3, attempts=(1, 1), crashes=3),
                Bounds(candidates=2, attempts=(1, 1, 1), crashes=2),
            ),
        },
        mutation_bounds=_SMALL,
        progress_bounds=(Bounds(candidates=2, attempts=(1, 1), crashes=2),),
        actions=tuple(ACTIONS),
        initial=initial,
        invariants={
            "at most one start": at_most_one_start,
            "not_run is true": not_run_is_true,
            "ran is true": ran_is_true,
            "answers agree": answers_agree,
        },
        goal=answered,
    )
)


_mutation = functools.partial(spec.mutation, "ownership")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("a refused attempt may start later (no tombstone)")(_off("tombstones"))
_mutation("a successor trusts a timeout of a silent candidate")(_off("needs_all"))
_mutation("a claim does not raise the fence")(_off("raises_fence"))
_mutation("a place below the fence is accepted")(_off("checks_fence"))
_mutation("a close below the fence is accepted")(_off("close_checks_fence"))
_mutation("a restart answers for the former life")(_off("forgets_incarnation"))
_mutation("the next attempt follows a timeout")(_off("resolves_attempts"))
_mutation("the home places on itself")(_off("home_places_elsewhere"))
_mutation("not_run without a close")(_off("closes_before_not_run"))
_mutation("a closed candidate starts or keeps silent")(_off("close_is_obeyed"))
spec.relaxation("ownership", "an executor accepts a second attempt")(
    _off("accept_once")
)
spec.relaxation("ownership", "a successor places on itself")(
    _off("successor_places_elsewhere")
)

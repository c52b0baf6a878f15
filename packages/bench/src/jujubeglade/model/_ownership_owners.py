"""The entries and owners of the specification `ownership`."""

import functools

from jujubeglade.model import _ownership_records as records
from jujubeglade.model import spec

ACTIONS = []
_action = functools.partial(spec.action, ACTIONS)


@_action("submit", "jujubeglade.entry.router:Router.submit")
def submit(setting, state):
    """An entry submits the job to a generation.

    It may suspect the earlier generations, and so submit to the next one, at any time.
    """
    for generation, owner in enumerate(state.owners):
        if owner.phase != records.IDLE:
            continue
        if state.failures_ended and not _needs_successor(state, generation):
            continue
        following = records.with_owner(
            state, generation, owner._replace(phase=records.ACTIVE)
        )
        if generation:
            following = records.send(following, records.Claim(generation))
        yield f"submit g{generation}", following


def _needs_successor(state, generation):
    """Tell whether all earlier generations have ended or were fenced."""
    return all(
        owner.phase == records.OVER or records.Fenced(before) in state.messages
        for before, owner in enumerate(state.owners[:generation])
    )


@_action("no_owner", "jujubeglade.entry.router:_no_owner_reachable")
def no_owner(setting, state):
    """An entry that reaches no owner answers the caller itself."""
    if setting.progress and all(owner.phase == records.OVER for owner in state.owners):
        answers = state.answers | {records.MAY_HAVE_RUN}
        yield "no owner left", state._replace(answers=answers)


@_action("place", "jujubeglade.agent.scheduler:Scheduler._place")
def place(setting, state):
    """An owner places the next attempt on a candidate."""
    for generation, owner in enumerate(state.owners):
        if not _may_place(setting, state, generation):
            continue
        attempt = records.Attempt(generation, len(owner.placed) + 1)
        for candidate in range(setting.bounds.candidates):
            if candidate == generation - 1 and setting.rules.successor_places_elsewhere:
                continue
            placed = owner._replace(placed=(*owner.placed, candidate))
            following = records.with_owner(state, generation, placed)
            label = f"place {records.attempt_name(attempt)} on c{candidate}"
            yield label, records.send(following, records.Place(attempt, candidate))


def _may_place(setting, state, generation):
    """Tell whether an owner may place the task, as far as it knows."""
    owner = state.owners[generation]
    if owner.phase != records.ACTIVE:
        return False
    if len(owner.placed) >= setting.bounds.attempts[generation]:
        return False
    if setting.rules.resolves_attempts and not _all_resolved(state, generation):
        return False
    return generation == 0 or _no_start_shown(setting, state, generation)


def _all_resolved(state, generation):
    """Tell whether every attempt of an owner was refused or has failed."""
    count = len(state.owners[generation].placed)
    return all(
        _is_resolved(state, records.Attempt(generation, number))
        for number in range(1, count + 1)
    )


def _is_resolved(state, attempt):
    return (
        records.Refused(attempt) in state.messages
        or records.Failed(attempt) in state.messages
    )


def _all_refused(state, generation):
    """Tell whether every attempt of an owner was refused."""
    count = len(state.owners[generation].placed)
    return all(
        records.Refused(records.Attempt(generation, number)) in state.messages
        for number in range(1, count + 1)
    )


def _no_start_shown(setting, state, generation):
    """Tell whether all candidates answered a claim and no answer shows a start."""
    answers = _claim_answers(state, generation)
    if any(_shows_start(state, answer) for answer in answers):
        return False
    if any(answer.closed for answer in answers):
        return False
    answered = {answer.candidate for answer in answers}
    return len(answered) == len(state.executors) or not setting.rules.needs_all_answers


def _claim_answers(state, generation):
    return [
        message
        for message in state.messages
        if type(message) is records.Claimed and message.generation == generation
    ]


def _shows_start(state, answer):
    return answer.attempt is not None and not _is_resolved(state, answer.attempt)


@_action("place_on_itself", "jujubeglade.agent.scheduler:Scheduler._eligible_workers")
def place_on_itself(setting, state):
    """A home that may place on its own worker starts the task there."""
    home = state.owners[0]
    if (
        setting.rules.home_places_elsewhere
        or home.phase != records.ACTIVE
        or home.placed
    ):
        return
    following = records.end_owner(state, 0)
    yield (
        "home starts the task itself",
        records.record_start(following, records.Attempt(0, 0)),
    )


@_action("claim_again", "jujubeglade.agent.home:Home.claim")
def claim_again(setting, state):
    """A successor sends its claim again.

    This matters only after `failures_end` has lost the first one, as any message that
    is still in the set may be delivered again anyway.
    """
    for generation, owner in enumerate(state.owners):
        if generation and owner.phase in (records.ACTIVE, records.CLOSING):
            message = records.Claim(generation)
            if message not in state.messages:
                yield f"claim g{generation} again", records.send(state, message)


@_action("answer_ran", "jujubeglade.agent.home:Home._complete")
def answer_ran(setting, state):
    """An owner that has the result answers that the task ran."""
    if not any(type(message) is records.Finished for message in state.messages):
        return
    for generation, owner in enumerate(state.owners):
        if owner.phase in (records.ACTIVE, records.CLOSING):
            yield (
                f"g{generation} answers ran",
                records.answer(state, generation, records.RAN),
            )


@_action("answer_failed", "jujubeglade.agent.home:Home.fail_task")
def answer_failed(setting, state):
    """An owner that does not repeat a failed attempt answers with its error."""
    for generation, owner in enumerate(state.owners):
        if owner.phase != records.ACTIVE or not _all_resolved(state, generation):
            continue
        answers = _claim_answers(state, generation)
        if any(_shows_start(state, answer) for answer in answers):
            continue
        if _has_failed(state, generation) or any(answer.failed for answer in answers):
            label = f"g{generation} answers with the error"
            yield label, records.answer(state, generation, records.RAN_AND_FAILED)


def _has_failed(state, generation):
    return any(
        type(message) is records.Failed and message.attempt.generation == generation
        for message in state.messages
    )


@_action("give_up", "jujubeglade.agent.takeover:close_job")
def close_job(setting, state):
    """An owner closes the job: on a cancel, at the deadline, or when all refused."""
    for generation, owner in enumerate(state.owners):
        closing = (
            owner.phase == records.CLOSING
            and records.Close(generation) not in state.messages
        )
        if owner.phase != records.ACTIVE and not closing:
            continue
        if not _certainly_not_started(state, generation):
            continue
        following = records.with_owner(
            state, generation, owner._replace(phase=records.CLOSING)
        )
        yield (
            f"g{generation} closes",
            records.send(following, records.Close(generation)),
        )


def _certainly_not_started(state, generation):
    """Tell whether an owner can be certain that nothing has started so far."""
    if not _all_refused(state, generation):
        return False
    if generation == 0:
        return True
    answers = _claim_answers(state, generation)
    if any(_may_have_run(state, answer) for answer in answers):
        return False
    return len({answer.candidate for answer in answers}) == len(state.executors)


def _may_have_run(state, answer):
    """Tell whether an answer to a claim shows that the task may have run."""
    if answer.failed:
        return True
    return (
        answer.attempt is not None
        and records.Refused(answer.attempt) not in state.messages
    )


@_action("answer_not_run", "jujubeglade.agent.takeover:_final_answer")
def answer_not_run(setting, state):
    """An owner whose close was confirmed answers that the task never runs."""
    for generation, owner in enumerate(state.owners):
        if owner.phase != records.CLOSING:
            continue
        confirmed = any(
            type(message) is records.Closed and message.generation == generation
            for message in state.messages
        )
        if confirmed or not setting.rules.closes_before_not_run:
            yield (
                f"g{generation} answers not_run",
                records.answer(state, generation, records.NOT_RUN),
            )


@_action("answer_met_closed", "jujubeglade.agent.takeover:_resume_tasks")
def answer_after_closed(setting, state):
    """A successor finds the job closed by an earlier owner and answers `not_run`."""
    for generation, owner in enumerate(state.owners):
        if not generation or owner.phase not in (records.ACTIVE, records.CLOSING):
            continue
        if not _certainly_not_started(state, generation):
            continue
        if any(answer.closed for answer in _claim_answers(state, generation)):
            label = f"g{generation} finds the job closed, answers not_run"
            yield label, records.answer(state, generation, records.NOT_RUN)


@_action("answer_unknown", "jujubeglade.agent.takeover:_mark_lost")
def answer_unknown(setting, state):
    """An owner that cannot find out more answers that the task may have run.

    This answer is always true, so only the check of progress needs to record it.
    """
    for generation, owner in enumerate(state.owners):
        if owner.phase not in (records.ACTIVE, records.CLOSING):
            continue
        if state.failures_ended and not _is_stuck(state, generation):
            continue
        label = f"g{generation} answers may_have_run"
        if setting.progress:
            yield label, records.answer(state, generation, records.MAY_HAVE_RUN)
        else:
            yield label, records.end_owner(state, generation)


def _is_stuck(state, generation):
    """Tell whether an owner was fenced, or needs the answer of a crashed process."""
    if records.Fenced(generation) in state.messages:
        return True
    if generation:
        return None in state.executors
    placed = state.owners[generation].placed
    if any(state.executors[candidate] is None for candidate in placed):
        return True
    return not any(state.executors)

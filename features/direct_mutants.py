"""Rules of direct jobs that can be disabled, to show that the tests detect it."""

import asyncio
import inspect
import math

from jujubeglade.core import clock
from jujubeglade.direct import (
    attempt,
    contract,
    dispatcher,
    fleet,
    owned_job,
    owners,
    runner,
    stops,
    suspicion,
    worker,
)

#: The pause between two calls of `_stop_one_by_one` after an answer.
_STOP_RETRY_MS = 120

_mutants = {}


def _mutant(rule):
    def register(function):
        _mutants[rule] = function
        return function

    return register


def leave_out(rule):
    """Disable a rule of the product in this process.

    Args:
      rule: A string, one of those that `_mutant` registers.

    Returns:
      A function without arguments that enables the rule again.
    """
    replacements = _mutants[rule]()
    originals = [
        (target, name, getattr(target, name)) for target, name, _ in replacements
    ]
    _set_all(replacements)
    return lambda: _set_all(originals)


def _set_all(attributes):
    for target, name, value in attributes:
        setattr(target, name, value)


def _unlimited_lease(self, attempts):
    return math.inf


def _extend_always(self, now_ms):
    return self._lease.extend(now_ms, math.inf, self._token)


@_mutant("a lost agent's tasks are repeated only when they can't run any more")
def _repeat_at_once():
    def gone(self, now_ms):
        return [worker for worker in self if worker.lost_ms is not None]

    return ((fleet.Fleet, "gone", gone),)


@_mutant(
    "a restarted agent starts nothing before its predecessor's attempts have ended"
)
def _start_before_clean():
    original = runner.Runner._adopt_instance

    def adopt_instance(self, report):
        original(self, report)
        self._clean = True
        self._responsive = True
        self._lease.note_clock(0, self._clock.now_ms())

    return ((runner.Runner, "_adopt_instance", adopt_instance),)


@_mutant("the lease is not renewed for attempts that the agent has not started")
def _renew_for_foreign():
    original = runner.Runner._apply

    def apply(self, reply, sent_ms, token):
        original(self, reply, sent_ms, token)
        self._clean = True

    return (
        (runner.Runner, "_apply", apply),
        (runner.Runner, "_extend_lease", _extend_always),
    )


@_mutant("a start without an answer is not treated as refused")
def _treat_unknown_as_refused():
    original = runner.Runner._handle_reply

    def handle_reply(self, an_attempt, answer):
        original(self, an_attempt, answer)
        if an_attempt.phase is attempt.Phase.UNRESOLVED:
            self._drop_unstarted(an_attempt, contract.Refusal.LOST)

    return ((runner.Runner, "_handle_reply", handle_reply),)


@_mutant("a stopping attempt keeps its capacity until the worker lists its end")
def _release_early():
    original = runner.Runner._halt

    def halt(self, an_attempt, cause):
        original(self, an_attempt, cause)
        self._capacity.release(an_attempt.task)
        self._announcer.on_room_change()

    return ((runner.Runner, "_halt", halt),)


@_mutant("a start in flight may reach the worker's next incarnation")
def _drop_starts():
    original = runner.Runner._lose_instance

    def lose_instance(self, cause):
        original(self, cause)
        for an_attempt in list(self._attempts.values()):
            self._end(an_attempt, contract.End.LOST)

    return ((runner.Runner, "_lose_instance", lose_instance),)


@_mutant("an answer to a start does not identify the worker's incarnation")
def _trust_any_answer():
    original = attempt.Attempt.confirm

    def confirm(self, now_ms):
        original(self, now_ms)
        self.is_listed = True

    return ((attempt.Attempt, "confirm", confirm),)


@_mutant("silent owners are dropped")
def _keep_silent_owners():
    return (
        (owners.Owner, "is_silent", lambda self, now_ms: False),
        (runner.Runner, "_lease_limit_ms", _unlimited_lease),
    )


@_mutant("the lease ends before a client's next submission can start")
def _ignore_owners_in_lease():
    return ((runner.Runner, "_lease_limit_ms", _unlimited_lease),)


@_mutant("a halt that was lost with its link is repeated")
def _halt_once():
    def halt_all(self, worker, attempts):
        pass

    return ((dispatcher.Dispatcher, "_halt_all", halt_all),)


@_mutant("a dropped owner is kept until its attempts have ended")
def _forget_owner():
    original = runner.Runner.drop_owner

    def drop_owner(self, owner):
        original(self, owner)
        return True

    return ((runner.Runner, "drop_owner", drop_owner),)


@_mutant("the fencing token rises after a poll without an answer")
def _keep_token_after_poll():
    original = runner.Runner._raise_token

    def raise_token(self, token):
        if inspect.currentframe().f_back.f_code.co_name != "_poll_once":
            original(self, token)

    return ((runner.Runner, "_raise_token", raise_token),)


@_mutant("a stop without an answer is repeated each 40 ms")
def _stop_one_by_one():
    async def repeat(stop, is_needed, background):
        while is_needed():
            if await stop() is not worker.Answer.UNKNOWN:
                await asyncio.sleep(clock.seconds(_STOP_RETRY_MS))

    return ((stops, "repeat", repeat),)


@_mutant("an owner whose echoes have stopped counts as lost")
def _ignore_echo_age():
    return ((owners, "_MAX_ECHO_AGE_MS", math.inf),)


@_mutant("a start is refused when the lease outlives what its owner is alive for")
def _start_under_any_lease():
    original = runner.Runner._lease_limit_ms

    def lease_limit_ms(self, attempts):
        # Only `_start` asks for the limit of a single attempt, as a tuple.
        if isinstance(attempts, tuple):
            return math.inf
        return original(self, attempts)

    return ((runner.Runner, "_lease_limit_ms", lease_limit_ms),)


@_mutant("the time that counts for a halted attempt stands still")
def _count_on_after_halt():
    alive_ms = property(lambda self: self.owner.alive_ms)
    return ((attempt.Attempt, "owner_alive_ms", alive_ms),)


@_mutant("a link is closed only once nothing runs for its owner")
def _close_busy_links():
    return ((runner.Runner, "runs_for", lambda self, owner: False),)


@_mutant("an end that its owner has is not repeated on a new link")
def _repeat_all_ends():
    def note_echo(self, echo_ms):
        self.alive_ms = max(self.alive_ms, echo_ms)

    return ((owners.Owner, "note_echo", note_echo),)


@_mutant("attempts start only by a recent report of the worker")
def _start_by_any_report():
    def report_age_ms(self, now_ms):
        return 0.0

    return ((runner.Runner, "_report_age_ms", report_age_ms),)


@_mutant("tasks under which workers crash are given up")
def _count_no_crashes():
    return (
        (suspicion.TaskRecord, "is_hopeless", False),
        (owned_job, "_MAX_UNPROVEN_CRASHES", math.inf),
    )


@_mutant("all entries hear of a crash")
def _tell_no_crash():
    return (
        (suspicion.Suspicions, "note", lambda self, crash: False),
        (owned_job, "_VERDICT_TIMEOUT_MS", 0),
    )

"""Rules of direct jobs that can be left out, to show that the tests notice it."""

from jujubeglade.direct import attempt, contract, fleet, owners, runner

_mutants = {}


def _mutant(rule):
    def register(function):
        _mutants[rule] = function
        return function

    return register


def leave_out(rule):
    """Leave a rule out of the product.

    Args:
      rule: A string.

    Returns:
      A function without arguments that puts it back.
    """
    owner, name, replacement = _mutants[rule]()
    former = getattr(owner, name)
    setattr(owner, name, replacement)
    return lambda: setattr(owner, name, former)


@_mutant("a lost agent's tasks wait until they can't run")
def _no_wait():
    def gone(self, now_ms):
        return [each for each in self if each.lost_ms is not None]

    return fleet.Fleet, "gone", gone


@_mutant("an agent that restarts starts nothing before it is clean")
def _not_clean():
    former = runner.Runner._adopt_instance

    def adopt_instance(self, report):
        former(self, report)
        self._clean = True
        self._responsive = True
        self._lease.note_clock(0, self._clock.now_ms())

    return runner.Runner, "_adopt_instance", adopt_instance


@_mutant("what an agent has not started is not held")
def _holds_foreign():
    former = runner.Runner._apply

    def apply(self, look, sent_ms, token):
        former(self, look, sent_ms, token)
        self._clean = True

    return runner.Runner, "_apply", apply


@_mutant("a start without an answer is not taken as refused")
def _unknown_is_refused():
    former = runner.Runner._handle_reply

    def handle_reply(self, started, answer):
        former(self, started, answer)
        if started.phase is attempt.Phase.UNRESOLVED:
            self._drop_unstarted(started, contract.Refusal.LOST)

    return runner.Runner, "_handle_reply", handle_reply


@_mutant("what stops keeps its room until its end is listed")
def _early_room():
    former = runner.Runner._halt

    def halt(self, held):
        former(self, held)
        self._capacity.give_back(held.task)
        self._announcer.on_room_change()

    return runner.Runner, "_halt", halt


@_mutant("a start under way may reach its worker's next life")
def _lose_starts():
    former = runner.Runner._lose_instance

    def lose_instance(self, cause):
        former(self, cause)
        for held in list(self._attempts.values()):
            self._end(held, contract.End.LOST)

    return runner.Runner, "_lose_instance", lose_instance


@_mutant("an answer to a start does not say which life gave it")
def _trust_answer():
    former = attempt.Attempt.confirm

    def confirm(self, now_ms):
        former(self, now_ms)
        self.is_listed = True

    return attempt.Attempt, "confirm", confirm


@_mutant("owners that are silent are dropped")
def _never_silent():
    return owners.Owner, "is_silent", lambda self, now_ms: False

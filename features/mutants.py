"""Processes with one rule taken away, to show that the proofs notice.

    python -m features.mutants RULE settings.json5

runs the daemon without the rule named. The product knows nothing of this.
"""

import sys

from jujubeglade.agent import agent, executor, home, permit, takeover, upstream
from jujubeglade.core import job
from jujubeglade.daemon import main as daemon
from jujubeglade.entry import entry, freshness

#: Functions that take a rule away, by the rule.
RULES = {}


def rule(name):
    """Register what takes a rule away."""

    def register(function):
        RULES[name] = function
        return function

    return register


@rule("a successor claims before it places")
def _no_claims():
    async def place(held, known, members):
        held.enqueue_tasks(known, range(len(known.tasks)))

    takeover.take_over = place


@rule("what may have run is not placed again")
def _lost_is_placed():
    def lose(held, known, index, attempt):
        if not known.is_over and held.remove_attempt(known, index, attempt):
            held.enqueue_tasks(known, (index,))

    takeover._mark_lost = lose


@rule("not run is said only after a close")
def _unproved_not_run():
    def final(task, *rest):
        return job.TaskAnswer(job.TaskOutcome.NOT_RUN, b"", "a mutant says so")

    takeover._final_answer = final


@rule("a complete answer has every task")
def _partial():
    complete = home.Home.handle_result

    def take(self, known, index, verdict, body, body_held=True):
        if known.tasks and known.unfinished > 1:
            known.unfinished = 1
            for task in known.tasks:
                empty = job.TaskAnswer(job.TaskOutcome.NOT_RUN, b"", "missing")
                task.answer = task.answer or empty
            known.tasks[index].answer = None
        complete(self, known, index, verdict, body, body_held)

    home.Home.handle_result = take


@rule("a result belongs to its attempt")
def _swapped():
    last = [b'{"value": -1}']
    take = home.Home.handle_result

    def swap(self, known, index, verdict, body, body_held=True):
        last.append(body)
        take(self, known, index, verdict, last.pop(0), body_held)

    home.Home.handle_result = swap


@rule("starts need a permit")
def _no_permit():
    permit.Permits.refusal = lambda self: None
    permit.Permits.is_drained = lambda self, zone, name: False
    permit.Permits.remaining_ms = lambda self: 60_000


@rule("an upstream that leaves gets nothing")
def _leaver_serves():
    serving = executor.Executor._serving_upstreams

    def all_live(self):
        for each in self._upstreams.values():
            each.leaving = False
        return serving(self)

    executor.Executor._serving_upstreams = all_live
    upstream.Upstream.is_live = lambda self, now_ms: True


@rule("a graceful stop waits")
def _stop_at_once():
    agent.Agent.stop = agent.Agent.close
    entry.Entry.stop = entry.Entry.close


@rule("permits need a confirmed view")
def _unconfirmed_permits():
    def grant(self, now_ms):
        return freshness.Permit(self._latest.revision, freshness.PERMIT_MS)

    freshness.Freshness.permit = grant
    permit.Permits.apply = _applying_anything(permit.Permits.apply)


def _applying_anything(apply):
    def forget(self, configuration):
        self.revision = min(self.revision, configuration.revision - 1)
        return apply(self, configuration)

    return forget


def main():
    """Take a rule away and run the daemon."""
    RULES[sys.argv[1]]()
    daemon.main(sys.argv[2:])


if __name__ == "__main__":
    main()

"""Run the daemon without one of its rules, to show that the tests detect its absence.

    python -m features.mutants RULE settings.json5

RULE is a key of `RULES`. The functions of the product are replaced in this process
only; the product has no code for it.
"""

import sys

from jujubeglade.agent import agent, executor, home, permit, takeover, upstream
from jujubeglade.core import job as jobs
from jujubeglade.daemon import main as daemon
from jujubeglade.entry import entry, freshness

#: Functions that disable a rule, by the rule.
RULES = {}


def rule(name):
    """Return a decorator that registers the function that disables a rule."""

    def register(function):
        RULES[name] = function
        return function

    return register


@rule("a successor claims before it places")
def _place_without_claim():
    async def place(home, job, members):
        home.enqueue_tasks(job, range(len(job.tasks)))

    takeover.take_over = place


@rule("a task that may have run is not placed again")
def _place_lost_again():
    def place_again(home, job, index, attempt):
        if not job.is_over and home.remove_attempt(job, index, attempt):
            home.enqueue_tasks(job, (index,))

    takeover._mark_lost = place_again


@rule("not_run is answered only after a close")
def _answer_not_run_unproven():
    def answer_not_run(task, *rest):
        return jobs.TaskAnswer(
            jobs.TaskOutcome.NOT_RUN, b"", "not run, without a close"
        )

    takeover._final_answer = answer_not_run


@rule("a complete answer has every task")
def _answer_partially():
    handle_result = home.Home.handle_result

    def complete_early(self, job, index, verdict, body, body_retained=True):
        if job.tasks and job.unfinished > 1:
            job.unfinished = 1
            for task in job.tasks:
                empty = jobs.TaskAnswer(jobs.TaskOutcome.NOT_RUN, b"", "missing")
                task.answer = task.answer or empty
            job.tasks[index].answer = None
        handle_result(self, job, index, verdict, body, body_retained)

    home.Home.handle_result = complete_early


@rule("a result belongs to its attempt")
def _swap_results():
    previous_bodies = [b'{"value": -1}']
    handle_result = home.Home.handle_result

    def swap(self, job, index, verdict, body, body_retained=True):
        previous_bodies.append(body)
        handle_result(self, job, index, verdict, previous_bodies.pop(0), body_retained)

    home.Home.handle_result = swap


@rule("starts need a permit")
def _start_without_permit():
    permit.Permits.refusal = lambda self: None
    permit.Permits.is_drained = lambda self, zone, name: False
    permit.Permits.remaining_ms = lambda self: 60_000


@rule("a leaving upstream gets no tasks")
def _use_leaving_upstreams():
    serving_upstreams = executor.Executor._serving_upstreams

    def all_upstreams(self):
        for an_upstream in self._upstreams.values():
            an_upstream.leaving = False
        return serving_upstreams(self)

    executor.Executor._serving_upstreams = all_upstreams
    upstream.Upstream.is_live = lambda self, now_ms: True


@rule("a graceful stop waits for work in progress")
def _stop_at_once():
    agent.Agent.stop = agent.Agent.close
    entry.Entry.stop = entry.Entry.close


@rule("permits need a confirmed configuration")
def _grant_unconfirmed_permits():
    def grant_permit(self, now_ms):
        return freshness.Permit(self._latest.revision, freshness.PERMIT_MS)

    freshness.Freshness.permit = grant_permit
    permit.Permits.apply = _apply_any_revision(permit.Permits.apply)


def _apply_any_revision(apply):
    def apply_any_revision(self, configuration):
        self.revision = min(self.revision, configuration.revision - 1)
        return apply(self, configuration)

    return apply_any_revision


def main():
    """Disable a rule and run the daemon."""
    RULES[sys.argv[1]]()
    daemon.main(sys.argv[2:])


if __name__ == "__main__":
    main()

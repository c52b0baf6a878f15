"""The router: sends the requests for a job to the owners that its ticket names.

The router tries the owners in their order. It goes on to the next owner if one can't be
reached, or answers that a later generation owns the job. This is harmless even if the
owner still runs; see docs/DESIGN.md, "At most once".
"""

import dataclasses

import result

from jujubeglade.core import problem, routing

_ANSWER_MARGIN_MS = 2000
_RETRY_AFTER_MS = 1000


class Router:
    """Sends the requests that one entry receives to the owners of the jobs."""

    __slots__ = ("_clock", "_limits", "_membership")

    def __init__(self, clock, membership, limits):
        """Create a router.

        Args:
          clock: A Clock.
          membership: A Membership.
          limits: The limits of the settings.
        """
        self._clock = clock
        self._membership = membership
        self._limits = limits

    async def submit(self, submission, job_ticket, wait_ms):
        """Submit a job to its owner.

        Args:
          submission: A Submission.
          job_ticket: The Ticket of the job.
          wait_ms: An integer, how long the answer may take.

        Returns:
          A Result of an Answer, or of a Problem.
        """
        oldest_ms = self._clock.wall_ms() - self._limits.window_ms
        if job_ticket.issued_ms < oldest_ms:
            return result.Err(_window_passed())

        def message_for(generation):
            members = tuple(self._connected_candidates(job_ticket))
            return routing.Submit(submission, generation, members, wait_ms)

        return await self._ask_owners(job_ticket, message_for, wait_ms, resume=True)

    async def query(self, job_ticket, tenant, wait_ms):
        """Query the answer of a job.

        Args:
          job_ticket: A Ticket.
          tenant: A string, the tenant that must own the job; empty for an operator.
          wait_ms: An integer, how long the answer may take.

        Returns:
          A Result of an Answer, or of a Problem.
        """

        def message_for(generation):
            return routing.Query(job_ticket.key, tenant, wait_ms)

        return await self._ask_owners(job_ticket, message_for, wait_ms, resume=False)

    async def cancel(self, job_ticket, tenant, reason):
        """Cancel a job.

        Args:
          job_ticket: A Ticket.
          tenant: A string, the tenant that must own the job; empty for an operator.
          reason: A string, which says who asked for it.

        Returns:
          A Result of an Answer, or of a Problem.
        """

        def message_for(generation):
            return routing.Cancel(job_ticket.key, tenant, reason)

        return await self._ask_owners(job_ticket, message_for, 0, resume=False)

    def _connected_candidates(self, job_ticket):
        for incarnation in job_ticket.group:
            agent = self._membership.find(incarnation)
            if agent is not None:
                yield agent.member

    async def _ask_owners(self, job_ticket, message_for, wait_ms, resume):
        """Send a message to the owners in their order until one answers.

        Args:
          job_ticket: A Ticket.
          message_for: A function of a generation, to the message for its owner.
          wait_ms: An integer, how long the answer may take.
          resume: A boolean; true if a successor without a record of the job is to
            take it over, false if it is to be skipped.

        Returns:
          A Result of the answer's body, or of a Problem.
        """
        end_ms = self._clock.now_ms() + wait_ms
        last_problem = None
        # Whether an earlier owner received the message and may have started tasks.
        may_have_started = False
        generation = 0
        while generation < len(job_ticket.owners):
            agent = self._membership.find(job_ticket.owners[generation])
            if agent is None:
                generation += 1
                continue
            remaining_ms = max(0, end_ms - self._clock.now_ms())
            timeout_ms = remaining_ms + _ANSWER_MARGIN_MS
            answer = await agent.link.ask(message_for(generation), timeout_ms)
            if answer.is_ok() and isinstance(answer.ok_value, routing.Moved):
                generation = max(generation + 1, answer.ok_value.generation)
                may_have_started = True
                continue
            if answer.is_ok():
                return answer
            last_problem = answer.err_value
            may_have_started = (
                may_have_started or last_problem.outcome == problem.Outcome.UNKNOWN
            )
            if not _try_next_owner(last_problem, resume):
                break
            generation += 1
        return result.Err(
            _with_outcome(last_problem or _no_owner_reachable(), may_have_started)
        )


def _try_next_owner(owner_problem, resume):
    """Tell whether the next owner is asked after an owner's problem."""
    lost = owner_problem.kind in (problem.Kind.HOME_LOST, problem.Kind.SHUTTING_DOWN)
    return lost or (not resume and owner_problem.kind == problem.Kind.UNKNOWN_JOB)


def _with_outcome(final_problem, may_have_started):
    """Set the outcome to unknown if an earlier owner may have started tasks."""
    if may_have_started and final_problem.outcome != problem.Outcome.UNKNOWN:
        return dataclasses.replace(final_problem, outcome=problem.Outcome.UNKNOWN)
    return final_problem


def _no_owner_reachable():
    return problem.Problem(
        kind=problem.Kind.HOME_LOST,
        message="no owner of the job can be reached from this entry",
        remedy="submit again with the same id; use a new id only for a new job",
        place="id",
        outcome=problem.Outcome.UNKNOWN,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _window_passed():
    return problem.Problem(
        kind=problem.Kind.WINDOW_PASSED,
        message="the id is older than the window of resubmission",
        remedy="look the job up in the audit before submitting with a new id",
        place="id",
        outcome=problem.Outcome.UNKNOWN,
    )

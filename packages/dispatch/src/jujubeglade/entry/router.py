"""The router: hands submissions to the owners that their tickets name.

An owner that can't be reached, or that says a later generation owns the job, is
followed by the next. A wrong suspicion does no harm: docs/DESIGN.md, "At most
once".
"""

import dataclasses

import result

from jujubeglade.core import problem, routing

_ANSWER_MARGIN_MS = 2000
_RETRY_AFTER_MS = 1000


class Router:
    """Routes the requests of one entry."""

    __slots__ = ("_clock", "_limits", "_membership")

    def __init__(self, clock, membership, limits):
        """Start routing.

        Args:
          clock: A Clock.
          membership: A Membership.
          limits: The limits of the settings.
        """
        self._clock = clock
        self._membership = membership
        self._limits = limits

    async def submit(self, submission, held, wait_ms):
        """Submit a job to its owner.

        Args:
          submission: A Submission.
          held: Its Ticket.
          wait_ms: An integer, how long the answer may take.

        Returns:
          A Result of an Answer, or of a Problem.
        """
        oldest_ms = self._clock.wall_ms() - self._limits.window_ms
        if held.issued_ms < oldest_ms:
            return result.Err(_window_passed())

        def message(generation):
            members = tuple(self._known_members(held))
            return routing.Submit(submission, generation, members, wait_ms)

        return await self._follow(held, message, wait_ms, resume=True)

    async def query(self, held, tenant, wait_ms):
        """Ask for a job's answer.

        Args:
          held: A Ticket.
          tenant: A string, whose job it must be; empty for an operator.
          wait_ms: An integer, how long the answer may take.

        Returns:
          A Result of an Answer, or of a Problem.
        """

        def message(generation):
            return routing.Query(held.key, tenant, wait_ms)

        return await self._follow(held, message, wait_ms, resume=False)

    async def cancel(self, held, tenant, reason):
        """Cancel a job.

        Args:
          held: A Ticket.
          tenant: A string, whose job it must be; empty for an operator.
          reason: A string, who asked.

        Returns:
          A Result of an Answer, or of a Problem.
        """

        def message(generation):
            return routing.Cancel(held.key, tenant, reason)

        return await self._follow(held, message, 0, resume=False)

    def _known_members(self, held):
        for incarnation in held.group:
            presence = self._membership.find(incarnation)
            if presence is not None:
                yield presence.member

    async def _follow(self, held, message, wait_ms, resume):
        """Ask the owners in their order until one answers for the job.

        Args:
          held: A Ticket.
          message: A function from the generation to the message for its owner.
          wait_ms: An integer, how long the owner may take.
          resume: A boolean; true hands the job to a successor that does not know
            it, false only asks those who do.
        """
        end_ms = self._clock.now_ms() + wait_ms
        refused = None
        # Whether an owner that took the message may have started something.
        unsure = False
        generation = 0
        while generation < len(held.owners):
            presence = self._membership.find(held.owners[generation])
            if presence is None:
                generation += 1
                continue
            left_ms = max(0, end_ms - self._clock.now_ms())
            timeout_ms = left_ms + _ANSWER_MARGIN_MS
            asked = await presence.link.ask(message(generation), timeout_ms)
            if asked.is_ok() and isinstance(asked.ok_value, routing.Moved):
                generation = max(generation + 1, asked.ok_value.generation)
                unsure = True
                continue
            if asked.is_ok():
                return asked
            refused = asked.err_value
            unsure = unsure or refused.outcome == problem.Outcome.UNKNOWN
            if not _goes_on(refused, resume):
                break
            generation += 1
        return result.Err(_with_doubt(refused or _no_owner_reachable(), unsure))


def _goes_on(cause, resume):
    """Tell whether the next owner is asked after a problem."""
    lost = cause.kind in (problem.Kind.HOME_LOST, problem.Kind.SHUTTING_DOWN)
    return lost or (not resume and cause.kind == problem.Kind.UNKNOWN_JOB)


def _with_doubt(refused, unsure):
    """Say unknown when an earlier owner may have started something."""
    if unsure and refused.outcome != problem.Outcome.UNKNOWN:
        return dataclasses.replace(refused, outcome=problem.Outcome.UNKNOWN)
    return refused


def _no_owner_reachable():
    return problem.Problem(
        kind=problem.Kind.HOME_LOST,
        message="no owner of the job can be reached from this entry",
        remedy="submit again with the same id; take a new id only for a new job",
        place="id",
        outcome=problem.Outcome.UNKNOWN,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _window_passed():
    return problem.Problem(
        kind=problem.Kind.WINDOW_PASSED,
        message="the id is older than the window of resubmission",
        remedy="look the job up in the audit before taking a new id",
        place="id",
        outcome=problem.Outcome.UNKNOWN,
    )

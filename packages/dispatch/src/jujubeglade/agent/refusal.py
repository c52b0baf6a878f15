"""The reasons for which a home refuses a submission or doesn't know a job."""

from jujubeglade.core import problem

_RETRY_AFTER_MS = 1000


def window_passed():
    """Refuse a ticket whose job the home may have removed already."""
    return problem.Problem(
        kind=problem.Kind.WINDOW_PASSED,
        message="the id is older than the window of resubmission",
        remedy="look the job up in the audit before submitting with a new id",
        outcome=problem.Outcome.UNKNOWN,
    )


def not_the_owner():
    """Refuse a generation that the ticket assigns to another agent."""
    return problem.Problem(
        kind=problem.Kind.HOME_LOST,
        message="this agent does not own that generation of the job",
        remedy="submit again with the same id",
        outcome=problem.Outcome.UNKNOWN,
    )


def shutting_down():
    """Refuse new jobs while the agent is leaving."""
    return problem.Problem(
        kind=problem.Kind.SHUTTING_DOWN,
        message="the agent is shutting down",
        remedy="submit again with the same id",
        retry_after_ms=_RETRY_AFTER_MS,
    )


def too_many_jobs():
    """Refuse new jobs while no old one can be removed."""
    return problem.Problem(
        kind=problem.Kind.OVERLOADED,
        message="the agent has as many jobs as the limit max_jobs allows",
        remedy="submit again later with the same id",
        retry_after_ms=_RETRY_AFTER_MS,
    )


def unknown_job(key):
    """Refuse to answer for a job that is not owned here.

    Args:
      key: A string, the job key.
    """
    return problem.Problem(
        kind=problem.Kind.UNKNOWN_JOB,
        message=f"job {key} is not known to this agent",
        remedy="submit again with the same id",
        place="id",
        outcome=problem.Outcome.UNKNOWN,
    )

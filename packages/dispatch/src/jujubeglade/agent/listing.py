"""Lists of the jobs that a home owns, for operators."""

from jujubeglade.core import job, routing

_MAX_ROWS = 1000


def list_jobs(owned, asked):
    """List jobs, the newest first.

    Args:
      owned: An iterable of OwnedJobs, in the order of their acceptance.
      asked: A ListJobs.

    Returns:
      A JobRows.
    """
    limit = min(max(asked.limit, 0), _MAX_ROWS)
    rows = []
    total = 0
    for known in reversed(tuple(owned)):
        if not _is_wanted(known, asked):
            continue
        total += 1
        if len(rows) < limit:
            rows.append(_row(known))
    return routing.JobRows(tuple(rows), total)


def _is_wanted(known, asked):
    """Say whether a job is listed; one that moved is listed by its new owner."""
    if known.moved_to is not None:
        return False
    tenant = asked.tenant in ("", known.submission.tenant)
    return tenant and asked.state in ("", _state(known))


def _state(known):
    return str(known.answer.state) if known.answer else str(job.State.RUNNING)


def _row(known):
    """Describe one job; its tasks are forgotten when it is answered."""
    tasks = len(known.answer.tasks if known.answer else known.tasks)
    done = tasks if known.answer else tasks - known.unfinished
    return routing.JobRow(
        known.key, known.submission.tenant, _state(known), tasks, done
    )

"""Lists of the jobs that a home owns, for operators."""

from jujubeglade.core import job as jobs
from jujubeglade.core import routing

_MAX_ROWS = 1000


def list_jobs(owned_jobs, request):
    """List jobs, the newest first.

    Args:
      owned_jobs: An iterable of OwnedJobs, in order of acceptance.
      request: A ListJobs.

    Returns:
      A JobRows.
    """
    limit = min(max(request.limit, 0), _MAX_ROWS)
    rows = []
    total = 0
    for job in reversed(tuple(owned_jobs)):
        if not _matches(job, request):
            continue
        total += 1
        if len(rows) < limit:
            rows.append(_row(job))
    return routing.JobRows(tuple(rows), total)


def _matches(job, request):
    """Return whether a job is listed; a job that moved is listed by its new owner."""
    if job.moved_to is not None:
        return False
    tenant_matches = request.tenant in ("", job.submission.tenant)
    return tenant_matches and request.state in ("", _state(job))


def _state(job):
    return str(job.answer.state) if job.answer else str(jobs.State.RUNNING)


def _row(job):
    """Describe one job; an answered job has only its answer, not its tasks."""
    task_count = len(job.answer.tasks if job.answer else job.tasks)
    done_count = task_count if job.answer else task_count - job.unfinished
    return routing.JobRow(
        job.key, job.submission.tenant, _state(job), task_count, done_count
    )

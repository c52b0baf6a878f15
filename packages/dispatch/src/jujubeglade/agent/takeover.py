"""Requests of an owner to executors when it takes over or closes a job.

| event                           | request                      | function           |
|---------------------------------|------------------------------|--------------------|
| a successor takes over a job    | Claim, to every candidate    | `take_over`        |
| the link to a worker was cut    | Claim of the attempts there  | `resolve_attempts` |
| a job ends before all its tasks | Close, to the tasks' workers | `close_job`        |

When an executor does not answer, the outcome of its attempts is unknown. A task with
an unknown outcome that is not repeatable is never placed again.
"""

import asyncio

from jujubeglade.core import contract
from jujubeglade.core import job as jobs
from jujubeglade.core import journal as audit

_FINISHED = contract.AttemptState.FINISHED
_NEVER = contract.AttemptState.NEVER
_RUNNING = contract.AttemptState.RUNNING


async def take_over(home, job, members):
    """Claim a job as its successor and continue it.

    Args:
      home: The Home that has accepted the job.
      job: An OwnedJob of a generation above 0.
      members: A mapping from incarnations to the Members that are known.
    """
    incarnations = [
        incarnation for incarnation in job.ticket.group if incarnation in members
    ]
    workers = [home.worker_for(members[incarnation]) for incarnation in incarnations]
    answers = await asyncio.gather(
        *(home.claim(worker, _claim(job, worker)) for worker in workers)
    )
    home.journal.record(audit.Kind.CLAIMED, job.key, generation=job.generation)
    if job.is_over:
        return
    fence = max((claimed.fence for claimed in answers if claimed), default=0)
    if fence > job.generation:
        home.mark_moved(job, fence)
        return
    answered_incarnations = {
        worker.member.incarnation
        for worker, claimed in zip(workers, answers, strict=True)
        if claimed is not None
    }
    if _has_unknown_tasks(job, answers):
        reason = "the id was already used for a submission with more tasks"
        home.spawn(home.fail(job, reason, 0))
        return
    _clear_unstarted(job, answered_incarnations)
    closed = any(claimed is not None and claimed.closed for claimed in answers)
    accepted_indexes = _adopt_reports(home, job, workers, answers)
    if job.is_over:
        return
    _resume_tasks(home, job, accepted_indexes, closed)


def _has_unknown_tasks(job, answers):
    """Return whether an executor reports tasks that the submission does not have."""
    return any(
        report.index >= len(job.tasks)
        for claimed in answers
        if claimed is not None
        for report in claimed.attempts
    )


def _clear_unstarted(job, answered_incarnations):
    """Clear the prior outcome of tasks whose possible executors have all answered.

    The reports of the executors then show what was started. A home places only
    repeatable tasks on itself.
    """
    for task in job.tasks:
        executors = job.ticket.group if task.task.repeatable else None
        if answered_incarnations.issuperset(executors or job.ticket.candidates):
            task.prior_outcome = None


def _resume_tasks(home, job, accepted_indexes, closed):
    """Place or fail the tasks of which no executor has accepted an attempt."""
    missing = [
        index for index in range(len(job.tasks)) if index not in accepted_indexes
    ]
    if closed:
        home.spawn(home.fail(job, "an earlier owner had closed the job", 0))
        return
    for index in missing:
        task = job.tasks[index]
        if task.prior_outcome is not None and not task.task.repeatable:
            error = "an executor that may have started the task does not answer"
            home.fail_task(job, index, task.prior_outcome, error)
            return
    home.enqueue_tasks(job, missing)


def _adopt_reports(home, job, workers, answers):
    """Apply the reports of the executors; return the indexes of accepted tasks."""
    accepted_indexes = set()
    for worker, claimed in zip(workers, answers, strict=True):
        if claimed is None:
            continue
        worker.record_load(claimed.load)
        for report in claimed.attempts:
            if report.state != _NEVER:
                accepted_indexes.add(report.index)
                apply_report(home, job, worker, report)
    return accepted_indexes


def apply_report(home, job, worker, report):
    """Apply the report of an executor about one attempt.

    Args:
      home: A Home.
      job: An OwnedJob.
      worker: The Worker that reports.
      report: An Attempt that was accepted there.
    """
    if report.state == _FINISHED:
        home.remove_attempt(job, report.index, report.attempt)
        home.handle_result(
            job, report.index, report.verdict, report.body, report.body_retained
        )
    elif not job.is_over:
        home.adopt_attempt(job, worker, report)


async def resolve_attempts(home, job, lost_worker, attempts):
    """Find out the outcome of attempts whose worker's link was cut.

    Args:
      home: A Home.
      job: An OwnedJob.
      lost_worker: The Worker.
      attempts: A tuple of pairs of index and attempt.
    """
    attempts = _retry_repeatable(home, job, attempts)
    claim = _claim(job, lost_worker, attempts)
    claimed = None
    if attempts and not lost_worker.gone:
        claimed = await home.claim(lost_worker, claim)
    if job.is_over:
        return
    if claimed is None:
        for index, attempt in attempts:
            _mark_lost(home, job, index, attempt)
        return
    if claimed.fence > job.generation:
        home.mark_moved(job, claimed.fence)
        return
    reports = {(report.index, report.attempt): report for report in claimed.attempts}
    for attempt_key in attempts:
        _apply_resolved_report(home, job, lost_worker, reports[attempt_key])


def _retry_repeatable(home, job, attempts):
    """Retry the tasks that may be repeated at once; return the other attempts."""
    unrepeatable = []
    for index, attempt in attempts:
        if job.is_over:
            return ()
        if job.tasks[index].task.repeatable:
            _mark_lost(home, job, index, attempt)
        else:
            unrepeatable.append((index, attempt))
    return tuple(unrepeatable)


def _apply_resolved_report(home, job, worker, report):
    if job.is_over:
        return
    if report.state != _NEVER:
        apply_report(home, job, worker, report)
    elif home.remove_attempt(job, report.index, report.attempt):
        task = job.tasks[report.index]
        if task.answer is None and not task.attempts:
            home.enqueue_tasks(job, (report.index,))


def _mark_lost(home, job, index, attempt):
    if job.is_over or not home.remove_attempt(job, index, attempt):
        return
    text = b"the worker that held it does not answer"
    home.handle_result(job, index, contract.Verdict.UNKNOWN, text, lost=True)


async def close_job(home, job):
    """Close a job and find out the outcome of each task without an answer.

    Args:
      home: A Home.
      job: An OwnedJob that is ending.

    Returns:
      A tuple of TaskAnswers, one for each task; empty when the job has moved.
    """
    workers = {worker for task in job.tasks for worker in task.attempts.values()}
    workers = tuple(workers | _choose_witness(home, job, workers))
    answers = await asyncio.gather(
        *(home.claim(worker, _close(job, worker)) for worker in workers)
    )
    fence = max((claimed.fence for claimed in answers if claimed), default=0)
    if fence > job.generation:
        # An executor that refuses the Close doesn't report what a later owner
        # started.
        home.mark_moved(job, fence)
        return ()
    closed_workers = {
        worker
        for worker, claimed in zip(workers, answers, strict=True)
        if claimed is not None
    }
    candidates = job.ticket.candidates
    is_closed = not candidates or any(
        worker.member.incarnation in candidates for worker in closed_workers
    )
    reports = {
        (report.index, report.attempt): report
        for claimed in answers
        if claimed is not None
        for report in claimed.attempts
    }
    return tuple(
        task.answer or _final_answer(task, index, reports, is_closed, closed_workers)
        for index, task in enumerate(job.tasks)
    )


def _choose_witness(home, job, workers):
    """Choose a candidate that records the close if no worker of a task is one."""
    candidates = job.ticket.candidates
    if any(worker.member.incarnation in candidates for worker in workers):
        return set()
    for worker in job.workers:
        reachable = worker.link is not None or home.is_local(worker)
        if reachable and worker.member.incarnation in candidates:
            return {worker}
    return set()


def _final_answer(task, index, reports, is_closed, closed_workers):
    """Return what is proven about a task that has no answer."""
    for attempt, worker in task.attempts.items():
        report = reports.get((index, attempt))
        if report is None and worker in closed_workers:
            # The attempt had not arrived when the job was closed, so it never starts.
            continue
        if report is None or report.state != _NEVER:
            return _final_answer_of_started(report)
    if task.prior_outcome is not None:
        error = "an earlier attempt did not succeed"
        return jobs.TaskAnswer(task.prior_outcome, b"", error)
    if is_closed:
        return jobs.TaskAnswer(jobs.TaskOutcome.NOT_RUN, b"", "not started")
    error = "no executor confirmed that the task will not start"
    return jobs.TaskAnswer(jobs.TaskOutcome.MAY_HAVE_RUN, b"", error)


def _final_answer_of_started(report):
    verdict = report.verdict if report and report.state == _FINISHED else None
    if verdict == contract.Verdict.SUCCEEDED and report.body_retained:
        return jobs.TaskAnswer(jobs.TaskOutcome.RAN, report.body, "")
    if verdict in (contract.Verdict.SUCCEEDED, contract.Verdict.FAILED):
        text = report.body.decode("utf-8", "replace") if report.body_retained else ""
        error = text or "the result is no longer stored"
        return jobs.TaskAnswer(jobs.TaskOutcome.RAN, b"", error)
    error = "the task started, and its result was not awaited"
    return jobs.TaskAnswer(jobs.TaskOutcome.MAY_HAVE_RUN, b"", error)


def _claim(job, worker, attempts=()):
    return contract.Claim(
        job.key,
        job.ticket.issued_ms,
        job.generation,
        worker.member.incarnation,
        attempts,
    )


def _close(job, worker):
    return contract.Close(
        job.key,
        job.ticket.issued_ms,
        job.generation,
        worker.member.incarnation,
    )

"""Taking over, settling and closing jobs: what an owner asks of executors.

| when                          | question                        | function    |
|-------------------------------|---------------------------------|-------------|
| a successor takes a job       | claim, to every candidate       | `take_over` |
| a link to a worker was cut    | claim of the attempts it held   | `settle`    |
| a job ends without its answer | close, to where its tasks are   | `close_job` |

An executor that does not answer leaves its tasks unknown, and what is unknown
and not repeatable is never placed again.
"""

import asyncio

from jujubeglade.core import contract, job
from jujubeglade.core import journal as audit

_FINISHED = contract.AttemptState.FINISHED
_NEVER = contract.AttemptState.NEVER
_RUNNING = contract.AttemptState.RUNNING


async def take_over(home, known, members):
    """Claim a job as its successor and go on with it.

    Args:
      home: The Home that has accepted the job.
      known: An OwnedJob of a generation above 0.
      members: A mapping from incarnation to Member, as far as known.
    """
    names = [name for name in known.ticket.group if name in members]
    asked = [home.worker_for(members[name]) for name in names]
    answers = await asyncio.gather(
        *(home.claim(candidate, _claim(known, candidate)) for candidate in asked)
    )
    home.journal.record(audit.Kind.CLAIMED, known.key, generation=known.generation)
    if known.is_over:
        return
    fence = max((claimed.fence for claimed in answers if claimed), default=0)
    if fence > known.generation:
        home.move(known, fence)
        return
    answered = {
        candidate.member.incarnation
        for candidate, claimed in zip(asked, answers, strict=True)
        if claimed is not None
    }
    if _is_foreign(known, answers):
        reason = "the id was taken for a submission of more tasks"
        home.spawn(home.fail(known, reason, 0))
        return
    _clear_doubts(known, answered)
    closed = any(claimed is not None and claimed.closed for claimed in answers)
    evidence = _take_evidence(home, known, asked, answers)
    if known.is_over:
        return
    _resume_tasks(home, known, evidence, closed)


def _is_foreign(known, answers):
    """Tell whether an executor knows tasks that the submission does not have."""
    return any(
        report.index >= len(known.tasks)
        for claimed in answers
        if claimed is not None
        for report in claimed.attempts
    )


def _clear_doubts(known, answered):
    """Clear each task of which every possible executor has told what it started.

    A home places only repeatable tasks on itself.
    """
    for task in known.tasks:
        possible = known.ticket.group if task.task.repeatable else None
        if answered.issuperset(possible or known.ticket.candidates):
            task.evidence = None


def _resume_tasks(home, known, evidence, closed):
    """Place, fail or leave each task, by the evidence of all executors."""
    missing = [i for i in range(len(known.tasks)) if i not in evidence]
    if closed:
        home.spawn(home.fail(known, "an earlier owner had closed the job", 0))
        return
    for index in missing:
        task = known.tasks[index]
        if task.evidence is not None and not task.task.repeatable:
            error = "an executor that may have started it does not answer"
            home.fail_task(known, index, task.evidence, error)
            return
    home.enqueue_tasks(known, missing)


def _take_evidence(home, known, asked, answers):
    """Adopt what the executors started; return the places of those tasks."""
    evidence = set()
    for candidate, claimed in zip(asked, answers, strict=True):
        if claimed is None:
            continue
        candidate.note_load(claimed.load)
        for report in claimed.attempts:
            if report.state != _NEVER:
                evidence.add(report.index)
                take_report(home, known, candidate, report)
    return evidence


def take_report(home, known, candidate, report):
    """Take over what an executor knows of one attempt.

    Args:
      home: A Home.
      known: An OwnedJob.
      candidate: The Worker that reports.
      report: An Attempt that was accepted there.
    """
    if report.state == _FINISHED:
        home.remove_attempt(known, report.index, report.attempt)
        home.handle_result(
            known, report.index, report.verdict, report.body, report.body_held
        )
    elif not known.is_over:
        home.adopt(known, candidate, report)


async def settle(home, known, lost, attempts):
    """Find out what became of attempts whose worker's link was cut.

    Args:
      home: A Home.
      known: An OwnedJob.
      lost: The Worker.
      attempts: A tuple of pairs of index and attempt.
    """
    attempts = _settle_repeatable(home, known, attempts)
    claim = _claim(known, lost, attempts)
    claimed = None
    if attempts and not lost.gone:
        claimed = await home.claim(lost, claim)
    if known.is_over:
        return
    if claimed is None:
        for index, attempt in attempts:
            _mark_lost(home, known, index, attempt)
        return
    if claimed.fence > known.generation:
        home.move(known, claimed.fence)
        return
    reports = {(report.index, report.attempt): report for report in claimed.attempts}
    for name in attempts:
        _take_settled(home, known, lost, reports[name])


def _settle_repeatable(home, known, attempts):
    """Place again at once what may be repeated; return the other attempts."""
    single = []
    for index, attempt in attempts:
        if known.is_over:
            return ()
        if known.tasks[index].task.repeatable:
            _mark_lost(home, known, index, attempt)
        else:
            single.append((index, attempt))
    return tuple(single)


def _take_settled(home, known, candidate, report):
    if known.is_over:
        return
    if report.state != _NEVER:
        take_report(home, known, candidate, report)
    elif home.remove_attempt(known, report.index, report.attempt):
        task = known.tasks[report.index]
        if task.answer is None and not task.attempts:
            home.enqueue_tasks(known, (report.index,))


def _mark_lost(home, known, index, attempt):
    if known.is_over or not home.remove_attempt(known, index, attempt):
        return
    text = b"the worker that held it does not answer"
    home.handle_result(known, index, contract.Verdict.UNKNOWN, text, lost=True)


async def close_job(home, known):
    """Close a job and find out what became of each task without an answer.

    Args:
      home: A Home.
      known: An OwnedJob that is ending.

    Returns:
      A tuple of TaskAnswers, one a task.
    """
    holders = {holder for task in known.tasks for holder in task.attempts.values()}
    holders = tuple(holders | _witness(home, known, holders))
    answers = await asyncio.gather(
        *(home.claim(holder, _close(known, holder)) for holder in holders)
    )
    fence = max((claimed.fence for claimed in answers if claimed), default=0)
    if fence > known.generation:
        # What a later owner started is not in the refused answer.
        home.move(known, fence)
        return ()
    closed_at = {
        holder
        for holder, claimed in zip(holders, answers, strict=True)
        if claimed is not None
    }
    candidates = known.ticket.candidates
    closed = not candidates or any(
        holder.member.incarnation in candidates for holder in closed_at
    )
    reports = {
        (report.index, report.attempt): report
        for claimed in answers
        if claimed is not None
        for report in claimed.attempts
    }
    return tuple(
        task.answer or _final_answer(task, index, reports, closed, closed_at)
        for index, task in enumerate(known.tasks)
    )


def _witness(home, known, holders):
    """Choose a candidate to keep the closed mark when no holder is one."""
    candidates = known.ticket.candidates
    if any(holder.member.incarnation in candidates for holder in holders):
        return set()
    for worker in known.workers:
        reachable = worker.link is not None or home.is_local(worker)
        if reachable and worker.member.incarnation in candidates:
            return {worker}
    return set()


def _final_answer(task, index, reports, closed, closed_at):
    """Say what can be shown true of a task that has no answer."""
    for attempt, holder in task.attempts.items():
        report = reports.get((index, attempt))
        if report is None and holder in closed_at:
            # It had not arrived when the job was closed, so it never starts.
            continue
        if report is None or report.state != _NEVER:
            return _final_started(report)
    if task.evidence is not None:
        error = "an earlier attempt did not succeed"
        return job.TaskAnswer(task.evidence, b"", error)
    if closed:
        return job.TaskAnswer(job.TaskOutcome.NOT_RUN, b"", "not started")
    error = "no executor could confirm that it stays unstarted"
    return job.TaskAnswer(job.TaskOutcome.MAY_HAVE_RUN, b"", error)


def _final_started(report):
    verdict = report.verdict if report and report.state == _FINISHED else None
    if verdict == contract.Verdict.SUCCEEDED and report.body_held:
        return job.TaskAnswer(job.TaskOutcome.RAN, report.body, "")
    if verdict in (contract.Verdict.SUCCEEDED, contract.Verdict.FAILED):
        text = report.body.decode("utf-8", "replace") if report.body_held else ""
        error = text or "the result is no longer held"
        return job.TaskAnswer(job.TaskOutcome.RAN, b"", error)
    error = "started, and not awaited"
    return job.TaskAnswer(job.TaskOutcome.MAY_HAVE_RUN, b"", error)


def _claim(known, candidate, attempts=()):
    return contract.Claim(
        known.key,
        known.ticket.issued_ms,
        known.generation,
        candidate.member.incarnation,
        attempts,
    )


def _close(known, candidate):
    return contract.Close(
        known.key,
        known.ticket.issued_ms,
        known.generation,
        candidate.member.incarnation,
    )

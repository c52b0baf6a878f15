"""Outlooks: what an entry expects of a job, from its fleet and its queue."""

from jujubeglade.direct import admission, owned


def look(workers, queue, held, entries):
    """Look ahead for a job that has just arrived.

    Args:
      workers: A Fleet.
      queue: A Queue.
      held: An OwnedJob with its key.
      entries: An integer, how many entries share the workers.

    Returns:
      An Outlook.
    """
    steps = held.submission.steps
    free_cpu, used_cpu = _room(workers, held.route.service)
    running = tuple(_running(workers, held.taken_ms))
    others = admission.share_of_others(
        running, used_cpu // max(1, entries), owned.longest_chain_ms(steps)
    )
    waiting = [task for each in queue.ahead(held.key) for task in each.ready]
    return admission.Outlook(
        free_cpu,
        running + others,
        tuple(_load(task.step) for task in waiting),
        tuple(_load(step) for step in steps for _ in range(step.count)),
        held.due_ms - held.taken_ms,
        held.submission.timeout_ms,
    )


def _room(workers, service):
    """Return what is free and what is in use for a service, in 1/1000 core."""
    free_cpu = 0
    used_cpu = 0
    for known in workers:
        if known.is_accepting and known.room.service == service:
            free = max(0, known.free.cpu)
            free_cpu += free
            used_cpu += known.room.total.cpu - free
    return free_cpu, used_cpu


def _running(workers, now_ms):
    """Yield a Load for each task on a worker, with the time that it still takes."""
    for known in workers:
        pace = known.health.pace(now_ms)
        for task in known.holding.values():
            left_ms = task.step.estimate_ms * pace - (now_ms - task.sent_ms)
            yield admission.Load(task.step.needs.cpu, max(0.0, left_ms))


def _load(step):
    """Describe a task of a step that waits."""
    return admission.Load(step.needs.cpu, step.estimate_ms)

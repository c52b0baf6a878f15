"""Forecasts: what an entry predicts for a job, from its fleet and its queue."""

from jujubeglade.direct import admission, owned_job


def new_forecast(fleet, queue, job, entries, rack_demand):
    """Make the forecast of a job that has just arrived.

    Args:
      fleet: A Fleet.
      queue: A Queue.
      job: An OwnedJob with its key.
      entries: An integer, the number of entries that share the workers.
      rack_demand: A RackDemand.

    Returns:
      A Forecast.
    """
    steps = job.submission.steps
    free_cpu, used_cpu = _room(fleet, job.route.service)
    now_ms = job.accepted_ms
    running = tuple(_running(fleet, now_ms))
    others = admission.share_of_others(
        running, used_cpu // max(1, entries), owned_job.longest_chain_ms(steps)
    )
    waiting = [task for other in queue.ahead(job.key) for task in other.ready]
    return admission.Forecast(
        free_cpu,
        running + others,
        tuple(_load(rack_demand, task.job, task.step, now_ms) for task in waiting),
        tuple(
            _load(rack_demand, job, step, now_ms)
            for step in steps
            for _ in range(step.count)
        ),
        job.due_ms - job.accepted_ms,
        job.submission.timeout_ms,
    )


def _room(fleet, service):
    """Return the free and the used cores of a service, in thousandths."""
    free_cpu = 0
    used_cpu = 0
    for worker in fleet:
        if worker.is_accepting and worker.room.service == service:
            free = max(0, worker.free.cpu)
            free_cpu += free
            used_cpu += worker.room.total.cpu - free
    return free_cpu, used_cpu


def _running(fleet, now_ms):
    """Yield a Load for each task on a worker, with its remaining run time."""
    for worker in fleet:
        slowdown = worker.health.slowdown(now_ms)
        for task in worker.assigned_tasks.values():
            left_ms = task.expected_ms * slowdown - (now_ms - task.sent_ms)
            yield admission.Load(task.step.needs.cpu, max(0.0, left_ms))


def _load(rack_demand, job, step, now_ms):
    """Return the Load of a waiting task of a step."""
    return admission.Load(step.needs.cpu, rack_demand.forecast_ms(job, step, now_ms))

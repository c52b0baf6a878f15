"""Placement: chooses the worker for a task.

A placement policy is a function of the workers that can run the task now and of a
`Request`; it returns one of these workers. The choice matters in a fleet whose workers
differ in size, speed and distance.
"""

import dataclasses

from jujubeglade.direct import job, locality, policy, spreading

#: Slowdowns are rounded to multiples of this; equal ones count as equally fast.
_SLOWDOWN_STEP = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a task requires of a worker.

    Attributes:
      service: A string.
      needs: A Resources.
      label: A string, the label that the worker must have; empty for any worker.
      rack: A string, the preferred rack; empty for none.
      zone: A string, the availability zone of the entry.
      excluded: A frozenset of agents' incarnations that must not be chosen.
      is_suspect: A boolean, whether the worker has to accept suspects; see `crashes`.
      racks: A mapping from the names of the wanted racks to Racks; see `locality`.
      spread_as: A string, the name of the entry if entries coordinate; else empty.
    """

    service: str
    needs: job.Resources
    label: str
    rack: str
    zone: str
    excluded: frozenset = frozenset()
    is_suspect: bool = False
    racks: dict = dataclasses.field(default_factory=dict)
    spread_as: str = ""


def request_of(task, fleet, zone, racks=None, spread_as=""):
    """Describe what a task requires of a worker.

    Args:
      task: An OwnedTask.
      fleet: A Fleet.
      zone: A string, the availability zone of the entry.
      racks: A dict from the names of the wanted racks to Racks.
      spread_as: A string, the name of the entry if entries coordinate; else empty.

    Returns:
      A Request.
    """
    job = task.job
    step = task.step
    service = job.route.service
    excluded = frozenset()
    if fleet.has_others(service, task.failed_on):
        excluded = frozenset(task.failed_on)
    if step.max_per_worker:
        excluded |= job.full_workers(task.name.step)
    return Request(
        service,
        step.needs,
        step.label,
        step.rack,
        zone,
        excluded,
        task.is_suspect,
        racks or {},
        spread_as,
    )


def candidates(workers, request, evacuated, now_ms):
    """List the workers that can run a task now.

    Args:
      workers: An iterable of Workers.
      request: A Request.
      evacuated: The availability zones out of service.
      now_ms: A number, the monotonic clock.

    Returns:
      A list of Workers.
    """
    return [
        worker
        for worker in workers
        if worker.is_accepting
        and not worker.is_quiet(now_ms)
        and worker.room.service == request.service
        and worker.free.covers(request.needs)
        and worker.zone not in evacuated
        and not worker.health.is_paused(now_ms)
        and (not request.label or request.label in worker.room.labels)
        and worker.identity.incarnation not in request.excluded
        and (not request.is_suspect or worker.accepts_suspects)
    ]


@policy.choice("placement", "fast_first")
def fast_first(workers, request, now_ms):
    """Choose the fastest, then the nearest, then the emptiest worker.

    A worker in the rack of the task's data goes before all others.
    """
    return min(workers, key=lambda worker: _fast_first_cost(worker, request, now_ms))


def _fast_first_cost(worker, request, now_ms):
    far_from_data = request.rack != "" and request.rack not in worker.room.labels
    slowdown = round(worker.health.slowdown(now_ms) / _SLOWDOWN_STEP)
    return far_from_data, slowdown, worker.zone != request.zone, -worker.free.cpu


@policy.choice("placement", "wanted_racks")
def wanted_racks(workers, request, now_ms):
    """Choose as `fast_first` does, but leave racks to the tasks that want them.

    Workers that are wanted less by other tasks go before faster ones. If entries
    coordinate, each prefers workers with about the same room in an order of its own.
    """
    if not request.racks and not request.spread_as:
        return fast_first(workers, request, now_ms)

    def cost(worker):
        far_from_data, *others, room = _fast_first_cost(worker, request, now_ms)
        wanted = 0
        if request.racks:
            wanted = locality.avoidance(request.racks, request.rack, worker.room.labels)
        if request.spread_as:
            room = spreading.order(
                request.spread_as,
                worker.identity.name,
                worker.free.cpu,
                request.needs.cpu,
            )
        return far_from_data, wanted, *others, room

    return min(workers, key=cost)


@policy.choice("placement", "emptiest")
def emptiest(workers, request, now_ms):
    """Choose the worker with the most free cores: the baseline."""
    return max(workers, key=lambda worker: worker.free.cpu)

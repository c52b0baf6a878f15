"""The passage of time in the specification `resubmission`."""

from jujubeglade.model import _resubmission_agents as agents
from jujubeglade.model import _resubmission_records as records
from jujubeglade.model import spec

ACTIONS = []


@spec.action(ACTIONS, "tick", "jujubeglade.direct.runner:Runner._lease_limit_ms")
def tick(setting, state):
    """A tick passes; whoever runs has done before what it must do at once."""
    if any(agents.must_drop(setting, worker) for worker in state.workers):
        return
    if records.may_act(state.first) and _must_check(setting, state):
        return
    oldest = max(setting.bounds.resubmission, setting.bounds.begin_age) + 1
    yield (
        "time passes",
        state._replace(
            workers=tuple(
                _age_worker(setting, worker, oldest) for worker in state.workers
            ),
            first=_age_owner(setting, state, oldest),
            client=state.client if state.client <= 0 else state.client - 1,
        ),
    )


def _must_check(setting, state):
    if setting.bounds.unseen_breaks:
        return False
    return state.first.unchecked or records.has_unseen_break(state)


def _age_worker(setting, worker, oldest):
    is_linked = worker.link != records.DOWN or worker.owner == records.FIRST
    silence = min(setting.bounds.silence, worker.silence + 1) if is_linked else 0
    lease = max(0, worker.lease - 1)
    return worker._replace(
        frozen=worker.frozen and min(oldest + 1, worker.frozen + 1),
        silence=silence,
        mail=tuple(_age_message(message, oldest) for message in worker.mail),
        age=min(oldest, worker.age + 1) if worker.owner == records.FIRST else 0,
        lease=lease,
        runs=worker.runs if lease else records.NOBODY,
    )


def _age_message(message, oldest):
    if message.kind == records.HALT:
        return message
    return message._replace(age=min(oldest, message.age + 1))


def _age_owner(setting, state, oldest):
    first = state.first
    if first.frozen:
        first = first._replace(frozen=min(oldest + 1, first.frozen + 1))
    if first.place == records.UNPLACED:
        return first
    if state.workers[first.place].link == records.UP:
        return first
    limit = setting.bounds.silence + setting.bounds.lease + 1
    return first._replace(wait=min(limit, first.wait + 1))

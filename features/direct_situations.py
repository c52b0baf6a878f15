"""Situations in which a single rule of direct jobs prevents a violation.

The rules are those of `direct_mutants`.
"""

import asyncio

from jujubeglade.direct import job
from jujubeglade.fakes import direct_site

_situations = {}
_LONG_RUN_MS = 2500
_PATIENT_CLIENT_MS = 15_000


def situation(rule):
    """Return a decorator that registers the situation of a rule."""

    def register(function):
        _situations[rule] = function
        return function

    return register


def find(rule):
    """Return the situation of a rule, a coroutine function that takes a Site."""
    return _situations[rule]


async def _submit(site, entry, count, run_ms=_LONG_RUN_MS):
    """Submit a job whose tasks need 4 cores each, and wait until it is placed."""
    _, dispatcher = site.entries[entry]
    submission = site.submission(count, 4000, run_ms)
    answer_task = asyncio.create_task(dispatcher.submit(submission, direct_site.ROUTE))
    await asyncio.sleep(0.1)
    return submission, answer_task


@situation("a lost agent's tasks are repeated only when they can't run any more")
async def cut_agent(site):
    """Cut an agent off, which goes on renewing its worker's lease for a while."""
    await _submit(site, 0, 6)
    node = site.nodes[0]
    for owner in node.owners.values():
        owner.link.abort()
    await asyncio.sleep(3)


@situation(
    "a restarted agent starts nothing before its predecessor's attempts have ended"
)
async def restart_agent(site):
    """Restart every agent while its worker is full, and submit more tasks."""
    await _submit(site, 0, 12)
    for index in range(len(site.nodes)):
        await site.restart_node(index)
    await _submit(site, 1, 12)
    await asyncio.sleep(3)


@situation("a start without an answer is not treated as refused")
async def lose_start(site):
    """Lose the answers to starts on the only available worker; restore the others."""
    first, *others = (node.worker for node in site.nodes)
    first.late_start_share = 1.0
    first.late_ms = (320, 320)
    _drain(others, draining=True)
    await asyncio.sleep(0.05)
    await _submit(site, 0, 4)
    _drain(others, draining=False)
    _drain((first,), draining=True)
    await asyncio.sleep(3)


@situation("a stopping attempt keeps its capacity until the worker lists its end")
async def stop_and_start(site):
    """Submit more tasks to full workers while they lose stops for a while."""
    _, answer_task = await _submit(site, 0, 12)
    for node in site.nodes:
        node.worker.lost_stop_share = 1.0
    answer_task.cancel()
    await asyncio.sleep(0.2)
    await _submit(site, 1, 4)
    for node in site.nodes:
        node.worker.lost_stop_share = 0.0
    await asyncio.sleep(1)


@situation("the lease is not renewed for attempts that the agent has not started")
async def lose_stops(site):
    """Restart an agent whose worker loses all stops."""
    await _submit(site, 0, 6)
    site.nodes[0].worker.lost_stop_share = 1.0
    await site.restart_node(0)
    await asyncio.sleep(3)


@situation("a start in flight may reach the worker's next incarnation")
async def crash_before_start(site):
    """Crash the only available worker so that its next incarnation gets the starts."""
    first, *others = (node.worker for node in site.nodes)
    first.late_start_share = 1.0
    first.late_ms = (120, 120)
    first.checks_incarnation = False
    _drain(others, draining=True)
    await asyncio.sleep(0.05)
    await _submit(site, 0, 4)
    first.crash()
    _drain(others, draining=False)
    await asyncio.sleep(3)


@situation("an answer to a start does not identify the worker's incarnation")
async def crash_unnoticed(site):
    """Restart the only available worker, which starts tasks before it reports."""
    first, *others = (node.worker for node in site.nodes)
    first.checks_incarnation = False
    _drain(others, draining=True)
    await asyncio.sleep(0.05)
    first.crash(reports=False)
    await _submit(site, 0, 4)
    _drain(others, draining=False)
    await asyncio.sleep(1)
    first.report()
    await asyncio.sleep(2)


@situation("silent owners are dropped")
async def lose_entry(site):
    """Kill an entry, whose client resubmits at another one."""
    submission, _ = await _submit(site, 0, 2)
    site.lose_entry(0)
    await asyncio.sleep(1.3)
    _, other = site.entries[0]
    resubmitted = asyncio.create_task(other.submit(submission, direct_site.ROUTE))
    await asyncio.sleep(0.5)
    resubmitted.cancel()
    await asyncio.sleep(0.5)


@situation("the lease ends before a client's next submission can start")
async def lose_entry_and_stops(site):
    """Kill an entry whose client resubmits at another one, while no stop arrives."""
    for node in site.nodes:
        node.worker.lost_stop_share = 1.0
    await lose_entry(site)


@situation("a halt that was lost with its link is repeated")
async def lose_halt(site):
    """Break the links of an entry when its client leaves, who resubmits elsewhere."""
    submission, answer_task = await _submit(site, 0, 2)
    _break_links(site, 0)
    answer_task.cancel()
    await asyncio.sleep(0.06)
    _connect_all(site, 0)
    await asyncio.sleep(1.24)
    _, other = site.entries[1]
    resubmitted = asyncio.create_task(other.submit(submission, direct_site.ROUTE))
    await asyncio.sleep(0.5)
    resubmitted.cancel()
    await asyncio.sleep(0.5)


@situation("a dropped owner is kept until its attempts have ended")
async def reach_dropped_owner(site):
    """Let an entry be silent and reached again while stops are lost for a while."""
    await _submit(site, 0, 6)
    await asyncio.sleep(0.01)
    identity, dispatcher = site.entries[0]
    node = site.nodes[0]
    node.worker.lost_stop_share = 1.0
    node.owners[identity.incarnation].last_received_ms -= 700
    await asyncio.sleep(0.06)
    site.connect(node, identity, dispatcher)
    await asyncio.sleep(0.3)
    node.worker.lost_stop_share = 0.0
    await asyncio.sleep(1)


@situation("the fencing token rises after a poll without an answer")
async def extend_late(site):
    """Have a worker execute three polls late, each before its lease expires."""
    first, *_ = (node.worker for node in site.nodes)
    first.late_lease_shifts = True
    first.late_ms = (2400, 2400)
    await _submit_to_first(site, 12_000)
    for _ in range(3):
        first.late_poll_share = 1.0
        await asyncio.sleep(0.3)
        first.late_poll_share = 0.0
        await asyncio.sleep(0.65)
    first.silent = True
    await asyncio.sleep(6)


@situation("a stop without an answer is repeated each 40 ms")
async def lose_entry_and_first_stops(site):
    """Kill an entry whose client resubmits elsewhere; the first stops are lost."""
    submission, _ = await _submit_to_first(site, _LONG_RUN_MS)
    site.nodes[0].worker.lost_first_stops = 10
    site.lose_entry(0)
    await asyncio.sleep(1.3)
    await _resubmit_elsewhere(site, 0, submission)


@situation("a start is refused when the lease outlives what its owner is alive for")
async def start_late(site):
    """Have a start of a client that leaves reach an agent late, which runs others."""
    await _submit_to_first(site, _LONG_RUN_MS, entry=1, tasks=1)
    node, *_ = site.nodes
    identity, _ = site.entries[0]
    entry_end = node.owners[identity.incarnation].link.peer
    for delay_ms in (250, 540):
        entry_end.delay_ms = delay_ms
        await asyncio.sleep(0.4)
    node.worker.lost_stop_share = 1.0
    submission, answer_task = await _submit_to_first(site, _LONG_RUN_MS, tasks=2)
    answer_task.cancel()
    await asyncio.sleep(1.3)
    await _resubmit_elsewhere(site, 1, submission)


@situation("the time that counts for a halted attempt stands still")
async def leave_and_lose_stops(site):
    """Lose all stops of a job whose client leaves and resubmits at another entry."""
    submission, answer_task = await _submit_to_first(site, _LONG_RUN_MS)
    site.nodes[0].worker.lost_stop_share = 1.0
    answer_task.cancel()
    await asyncio.sleep(1.3)
    await _resubmit_elsewhere(site, 1, submission)


async def _submit_to_first(site, run_ms, entry=0, tasks=4):
    """Submit a job whose tasks an entry places on the first worker."""
    _, *others = (node.worker for node in site.nodes)
    _drain(others, draining=True)
    await asyncio.sleep(0.05)
    _, dispatcher = site.entries[entry]
    submission = site.submission(tasks, 4000, run_ms, _PATIENT_CLIENT_MS)
    answer_task = asyncio.create_task(dispatcher.submit(submission, direct_site.ROUTE))
    await asyncio.sleep(0.005)
    _drain(others, draining=False)
    return submission, answer_task


async def _resubmit_elsewhere(site, entry, submission):
    """Submit a job again, whose tasks are placed on other workers than the first."""
    first, *_ = (node.worker for node in site.nodes)
    first.draining = True
    first.report()
    _, dispatcher = site.entries[entry]
    resubmitted = asyncio.create_task(dispatcher.submit(submission, direct_site.ROUTE))
    await asyncio.sleep(1)
    resubmitted.cancel()
    await asyncio.sleep(0.5)


def _break_links(site, entry):
    identity, _ = site.entries[entry]
    for node in site.nodes:
        node.owners[identity.incarnation].link.abort()


def _connect_all(site, entry):
    identity, dispatcher = site.entries[entry]
    for node in site.nodes:
        site.connect(node, identity, dispatcher)


def _drain(workers, *, draining):
    """Have workers report that they drain, or that they don't."""
    for worker in workers:
        worker.draining = draining
        worker.report()


@situation("attempts start only by a recent report of the worker")
async def shrink_unheard(site):
    """Let every worker shrink while its reports are lost, and submit tasks later."""
    for node in site.nodes:
        node.worker.loses_reports = True
        node.worker.resize(4000)
    await asyncio.sleep(4.5)
    await _submit(site, 0, 12)


@situation("tasks under which workers crash are given up")
async def crash_under_task(site):
    """Submit a task that crashes each worker that starts it."""
    _crash_under_first_task(site, 300)
    await _submit_patiently(site, 0)
    await asyncio.sleep(20)


@situation("all entries hear of a crash")
async def crash_under_two_owners(site):
    """Kill the owner of such a task twice; its client submits it again elsewhere."""
    _crash_under_first_task(site, 300)
    submission = await _submit_patiently(site, 0)
    for _ in range(2):
        await asyncio.sleep(3.2)
        zone = site.entries[0][0].zone
        site.lose_entry(0)
        site.add_entry(zone)
        await asyncio.sleep(direct_site.RESUBMIT_DELAY_MS / 1000)
        _, entry = site.entries[0]
        asyncio.create_task(entry.submit(submission, direct_site.ROUTE))
    await asyncio.sleep(10)


def _crash_under_first_task(site, away_ms):
    """Have the first task crash each worker that starts it, for some time."""
    for node in site.nodes:
        node.worker.crashing_tasks = frozenset({job.TaskName(f"{1:016x}", 0, 0)})
        node.worker.crash_ms = away_ms


async def _submit_patiently(site, entry):
    """Submit a job of one task whose client waits for long, and return it."""
    _, dispatcher = site.entries[entry]
    submission = site.submission(1, 4000, 500, _PATIENT_CLIENT_MS)
    asyncio.create_task(dispatcher.submit(submission, direct_site.ROUTE))
    await asyncio.sleep(0.1)
    return submission

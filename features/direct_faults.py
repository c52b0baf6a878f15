"""Faults of the field after which a task of direct jobs must not run twice at a time.

Each function plays one fault on a FieldSite whose entry 0 has placed tasks on worker 0.
"""

import asyncio

from jujubeglade.fakes import direct_clients, direct_site

_faults = {}
_CORES = 4000
#: As many as fill one worker.
_TASKS = 4
_RUN_MS = 2500
_CLIENT_TIMEOUT_MS = 15000
_SET_BACK_MS = 3_600_000
#: The interval of polls while no attempt ends, from the start of the site.
_POLL_INTERVAL_MS = 300


def fault(name):
    """Return a decorator that registers the function that plays a fault."""

    def register(function):
        _faults[name] = function
        return function

    return register


def find(name):
    """Return the coroutine function of a fault, which takes a FieldSite."""
    return _faults[name]


@fault("an entry is reached again while stops for it are lost")
async def reach_again(site):
    """Cut entry 0 off worker 0, which loses stops, and heal the cut after 700 ms."""
    await _submit_to_first(site)
    site.agents[0].worker.lost_stop_share = 1.0
    site.network.cut("worker-0", "entry-0")
    await asyncio.sleep(0.7)
    site.network.heal("worker-0", "entry-0")
    await asyncio.sleep(0.5)
    site.agents[0].worker.lost_stop_share = 0.0
    await asyncio.sleep(3)


@fault("links and clients' connections are reset at one moment")
async def reset_all(site):
    """Reset all connections of entry 0; its client submits again at entry 1."""
    submission = await _submit_to_first(site)
    site.reset(site.entries[0])
    await _submit_again(site, submission)
    await asyncio.sleep(3)


@fault("stops are lost for 700 ms after the owner was dropped")
async def lose_stops(site):
    """Kill entry 0 while worker 0 loses stops; its client submits again at entry 1."""
    submission = await _submit_to_first(site)
    site.kill(site.entries[0])
    site.agents[0].worker.lost_stop_share = 1.0
    await _submit_again(site, submission)
    await asyncio.sleep(0.1)
    site.agents[0].worker.lost_stop_share = 0.0
    await asyncio.sleep(3)


@fault("stops are executed seconds late after the owner was dropped")
async def delay_stops(site):
    """Kill entry 0 while stops at worker 0 are late; its client submits again."""
    submission = await _submit_to_first(site)
    site.kill(site.entries[0])
    site.agents[0].worker.late_stop_share = 1.0
    site.agents[0].worker.late_ms = (2000, 12000)
    await _submit_again(site, submission)
    await asyncio.sleep(3)


@fault("late polls extend the lease after the agent has concluded that it expired")
async def delay_polls(site):
    """Have worker 0 answer no more polls and execute them 700 ms late."""
    worker = site.agents[0].worker
    worker.late_lease_shifts = True
    worker.late_ms = (700, 700)
    await _submit_to_first(site, 5000)
    worker.late_poll_share = 1.0
    await asyncio.sleep(6)


@fault("late polls extend the lease while their agent is frozen")
async def delay_polls_and_freeze(site):
    """Freeze agent 0 just after the fourth poll that is late, of one each second."""
    worker = site.agents[0].worker
    worker.late_lease_shifts = True
    worker.late_ms = (2400, 2400)
    await _submit_to_first(site, 12000)
    for _ in range(3):
        worker.late_poll_share = 1.0
        await asyncio.sleep(0.3)
        worker.late_poll_share = 0.0
        await asyncio.sleep(0.65)
    worker.late_poll_share = 1.0
    await asyncio.sleep(0.3)
    site.agents[0].process.freeze()
    await asyncio.sleep(5)
    site.agents[0].process.resume()
    await asyncio.sleep(1)


@fault("a frozen agent on a slow clock reads a start after the client's resubmission")
async def freeze_and_start(site):
    """Freeze agent 0 before it gets a start, until the client has submitted again."""
    worker = site.agents[0].worker
    worker.clock_rate = 0.98
    _drain(site.agents[1].worker, draining=True)
    await asyncio.sleep(0.1)
    submission = site.submission(1, _CORES, _RUN_MS)
    await _poll_has_begun(site)
    site.agents[0].process.freeze()
    direct_clients.Request(site.entries[0], submission)
    await asyncio.sleep(0.004)
    site.reset(site.entries[0])
    _drain(site.agents[1].worker, draining=False)
    await _submit_again(site, submission)
    site.agents[0].process.resume()
    await asyncio.sleep(2)


@fault("a start is refused as a duplicate while the first run is being stopped")
async def refuse_duplicate(site):
    """Kill entry 0; its task is sent to worker 0 again while that loses stops."""
    submission = await _submit_to_first(site, tasks=1)
    site.kill(site.entries[0])
    site.agents[0].worker.lost_stop_share = 1.0
    _drain(site.agents[1].worker, draining=True)
    await _submit_again(site, submission)
    await asyncio.sleep(0.02)
    _drain(site.agents[1].worker, draining=False)
    await asyncio.sleep(0.2)
    site.agents[0].worker.lost_stop_share = 0.0
    await asyncio.sleep(3)


@fault("a worker shrinks while its agent is suspended")
async def shrink_while_suspended(site):
    """Suspend agent 0 for 5 s; its worker shrinks, and reports late when it is back."""
    worker = site.agents[0].worker
    site.agents[0].process.freeze()
    worker.loses_reports = True
    worker.resize(_CORES)
    await asyncio.sleep(5)
    site.agents[0].process.resume()
    await asyncio.sleep(0.5)
    submission = site.submission(_TASKS, _CORES, _RUN_MS)
    direct_clients.Request(site.entries[0], submission)
    await asyncio.sleep(1)


@fault("a link is reset after a worker has crashed between two submissions")
async def repeat_ended(site):
    """Submit a job to entry 0 twice, crash worker 0 between, then reset its link."""
    submission = await _submit_to_first(site)
    for request in list(site.entries[0].requests):
        request.reset()
    await asyncio.sleep(0.2)
    site.agents[0].worker.crash()
    _drain(site.agents[1].worker, draining=True)
    await asyncio.sleep(direct_site.RESUBMIT_DELAY_MS / 1000)
    direct_clients.Request(site.entries[0], submission)
    await asyncio.sleep(0.1)
    _drain(site.agents[1].worker, draining=False)
    await asyncio.sleep(0.1)
    site.network.pair("worker-0", "entry-0").reset()
    await asyncio.sleep(3)


@fault("a worker is reborn while its runs are being stopped")
async def refuse_stops(site):
    """Reset the clients' connections of entry 0 and crash worker 0 unnoticed."""
    await _submit_to_first(site)
    await asyncio.sleep(0.02)
    site.agents[0].worker.crash(reports=False)
    for request in list(site.entries[0].requests):
        request.reset()
    await asyncio.sleep(1)


@fault("starts are late, their agent's clock is set back and its worker is reborn")
async def set_clock_back(site):
    """Restart agent 0 and its worker before the worker executes its starts."""
    host = site.agents[0]
    host.worker.checks_incarnation = False
    host.worker.late_start_share = 1.0
    host.worker.late_ms = (900, 900)
    _drain(site.agents[1].worker, draining=True)
    await asyncio.sleep(0.1)
    submission = site.submission(_TASKS, _CORES, _RUN_MS, _CLIENT_TIMEOUT_MS)
    direct_clients.Request(site.entries[0], submission)
    await asyncio.sleep(0.05)
    site.kill(host)
    host.worker.late_start_share = 0.0
    host.worker.crash()
    _drain(site.agents[1].worker, draining=False)
    host.wall_offset_ms -= _SET_BACK_MS
    await asyncio.sleep(0.1)
    await site.start_agent(host)
    await asyncio.sleep(0.01)
    # It fills worker 0 before entry 0 places its tasks again.
    other = site.submission(_TASKS, _CORES, _RUN_MS, _CLIENT_TIMEOUT_MS)
    direct_clients.Request(site.entries[0], other)
    await asyncio.sleep(3)
    assert len(site.witness.done) == 2 * _TASKS, "tasks were not placed again"


async def _submit_to_first(site, run_ms=_RUN_MS, tasks=_TASKS):
    """Submit a job to entry 0 that it places on worker 0."""
    _drain(site.agents[1].worker, draining=True)
    await asyncio.sleep(0.1)
    submission = site.submission(tasks, _CORES, run_ms, _CLIENT_TIMEOUT_MS)
    direct_clients.Request(site.entries[0], submission)
    await asyncio.sleep(0.1)
    _drain(site.agents[1].worker, draining=False)
    await asyncio.sleep(0.1)
    assert site.agents[0].worker.running == tasks
    return submission


async def _submit_again(site, submission):
    """Submit a job at entry 1, as its client does."""
    await asyncio.sleep(direct_site.RESUBMIT_DELAY_MS / 1000)
    direct_clients.Request(site.entries[1], submission)
    await asyncio.sleep(0.005)


async def _poll_has_begun(site):
    """Wait until agents without load have just sent a poll."""
    into_poll_ms = site.clock.now_ms() % _POLL_INTERVAL_MS
    await asyncio.sleep((_POLL_INTERVAL_MS - into_poll_ms + 2) / 1000)


def _drain(worker, *, draining):
    """Have a worker report that it drains, or that it doesn't."""
    worker.draining = draining
    worker.report()


@fault("the links to entry 0 are slow by 200 ms")
async def slow_links(site):
    """Delay all messages of entry 0, which gets ten jobs in 4 s."""
    for host in site.agents:
        site.network.pair(host.name, "entry-0").set_delay(200)
    await asyncio.sleep(2)
    clients = []
    for _ in range(10):
        submission = site.submission(1, 1000, 200, 3000)
        client = direct_clients.run(site, submission, site.entries[0])
        clients.append(asyncio.create_task(client))
        await asyncio.sleep(0.37)
    await asyncio.sleep(3)
    for client in clients:
        client.cancel()


@fault("a start that was fenced off reaches the worker's next incarnation")
async def crash_before_late_start(site):
    """Crash worker 0 before it executes a start that has been placed elsewhere."""
    host = site.agents[0]
    host.worker.checks_incarnation = False
    host.worker.late_start_share = 1.0
    host.worker.late_ms = (900, 900)
    _drain(site.agents[1].worker, draining=True)
    await asyncio.sleep(0.1)
    submission = site.submission(1, _CORES, _RUN_MS, _CLIENT_TIMEOUT_MS)
    direct_clients.Request(site.entries[0], submission)
    await asyncio.sleep(0.05)
    host.worker.late_start_share = 0.0
    _drain(site.agents[1].worker, draining=False)
    _drain(host.worker, draining=True)
    await asyncio.sleep(0.845)
    host.worker.crash(reports=False)
    await asyncio.sleep(3)


@fault("a frozen entry wakes while a client's second submission runs elsewhere")
async def wake_with_requests(site):
    """Send a job to frozen entry 0 and, when its client has given up, to entry 1."""
    site.entries[0].process.freeze()
    submission = site.submission(_TASKS, _CORES, _RUN_MS, _CLIENT_TIMEOUT_MS)
    request = direct_clients.Request(site.entries[0], submission)
    await asyncio.sleep(1.5)
    # Much else waits to be read, so that the links of the agents are up before.
    request.reset(read_after_ms=200)
    await _submit_again(site, submission)
    await asyncio.sleep(0.5)
    assert site.agents[0].worker.running + site.agents[1].worker.running == _TASKS
    site.entries[0].process.resume()
    await asyncio.sleep(3)


@fault("a client leaves a waiting job while its entry stands still and room is freed")
async def free_room_while_frozen(site):
    """Freeze entry 0 for less than agents wait, until its one job could start."""
    _drain(site.agents[1].worker, draining=True)
    await asyncio.sleep(0.1)
    blocking = site.submission(_TASKS, _CORES, 400, _CLIENT_TIMEOUT_MS)
    direct_clients.Request(site.entries[1], blocking)
    await asyncio.sleep(0.02)
    waiting = site.submission(_TASKS, _CORES, 100, _CLIENT_TIMEOUT_MS)
    request = direct_clients.Request(site.entries[0], waiting)
    await asyncio.sleep(0.05)
    site.entries[0].process.freeze()
    request.reset()
    await asyncio.sleep(0.45)
    site.entries[0].process.resume()
    await asyncio.sleep(1)

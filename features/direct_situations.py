"""Situations in which one rule of direct jobs is all that keeps a promise."""

import asyncio

from jujubeglade.fakes import direct_site

_situations = {}
_LONG_MS = 2500


def situation(rule):
    """Register the situation of a rule."""

    def register(function):
        _situations[rule] = function
        return function

    return register


def find(rule):
    """Find the situation of a rule, a coroutine function of a Site."""
    return _situations[rule]


async def _submit(site, entry, count, run_ms=_LONG_MS):
    """Submit a job of tasks of 4 cores, and let it be placed."""
    _, dispatcher = site.entries[entry]
    made = site.submission(count, 4000, run_ms)
    running = asyncio.create_task(dispatcher.submit(made, direct_site.ROUTE))
    await asyncio.sleep(0.1)
    return made, running


@situation("a lost agent's tasks wait until they can't run")
async def cut_agent(site):
    """Cut an agent off, which goes on holding its worker for a while."""
    await _submit(site, 0, 6)
    node = site.nodes[0]
    for owner in node.owners.values():
        owner.link.abort()
    await asyncio.sleep(3)


@situation("an agent that restarts starts nothing before it is clean")
async def restart_agent(site):
    """Restart every agent beside a full worker, and offer it more."""
    await _submit(site, 0, 12)
    for index in range(len(site.nodes)):
        await site.restart_node(index)
    await _submit(site, 1, 12)
    await asyncio.sleep(3)


@situation("a start without an answer is not taken as refused")
async def lose_start(site):
    """Lose the answers to starts on the only worker, while the others come back."""
    first, *others = (node.worker for node in site.nodes)
    first.losing = 1.0
    first.late_ms = (320, 320)
    _drain(others, draining=True)
    await asyncio.sleep(0.05)
    await _submit(site, 0, 4)
    _drain(others, draining=False)
    _drain((first,), draining=True)
    await asyncio.sleep(3)


@situation("what stops keeps its room until its end is listed")
async def stop_and_start(site):
    """Offer full workers more while their stops are lost for a while."""
    _, running = await _submit(site, 0, 12)
    for node in site.nodes:
        node.worker.losing_stops = 1.0
    running.cancel()
    await asyncio.sleep(0.2)
    await _submit(site, 1, 4)
    for node in site.nodes:
        node.worker.losing_stops = 0.0
    await asyncio.sleep(1)


@situation("what an agent has not started is not held")
async def lose_stops(site):
    """Restart an agent whose worker gets none of its stops for a while."""
    await _submit(site, 0, 6)
    site.nodes[0].worker.losing_stops = 1.0
    await site.restart_node(0)
    await asyncio.sleep(3)


@situation("a start under way may reach its worker's next life")
async def crash_before_start(site):
    """Crash the only worker while starts are on their way, which its next life gets."""
    first, *others = (node.worker for node in site.nodes)
    first.losing = 1.0
    first.late_ms = (120, 120)
    first.knows_lives = False
    _drain(others, draining=True)
    await asyncio.sleep(0.05)
    await _submit(site, 0, 4)
    first.crash()
    _drain(others, draining=False)
    await asyncio.sleep(3)


@situation("an answer to a start does not say which life gave it")
async def crash_unnoticed(site):
    """Let the only worker begin another life that starts tasks before it reports."""
    first, *others = (node.worker for node in site.nodes)
    first.knows_lives = False
    _drain(others, draining=True)
    await asyncio.sleep(0.05)
    first.crash(reports=False)
    await _submit(site, 0, 4)
    _drain(others, draining=False)
    await asyncio.sleep(1)
    first.report()
    await asyncio.sleep(2)


@situation("owners that are silent are dropped")
async def lose_entry(site):
    """Lose an entry, whose client submits again elsewhere."""
    made, _ = await _submit(site, 0, 2)
    site.lose_entry(0)
    await asyncio.sleep(1.3)
    _, other = site.entries[0]
    again = asyncio.create_task(other.submit(made, direct_site.ROUTE))
    await asyncio.sleep(0.5)
    again.cancel()
    await asyncio.sleep(0.5)


def _drain(workers, *, draining):
    """Let workers report that they leave, or that they stay."""
    for each in workers:
        each.draining = draining
        each.report()

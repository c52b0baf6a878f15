"""Faults that a soak of direct jobs injects from outside the processes.

Each is a coroutine function of a ProcessSite and a random.Random: it causes the fault,
waits and undoes it. The decorator registers it under its name.
"""

import asyncio
import signal

from jujubeglade.fakes import wire

FAULTS = {}
_STOP_TIMEOUT_S = 6.5


def fault(function):
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


@fault
async def kill_entry(site, rng):
    """Kill an entry and restart it soon."""
    await _restart(rng.choice(site.entries), rng)


@fault
async def kill_agent(site, rng):
    """Kill an agent and restart it soon; its worker keeps running."""
    await _restart(rng.choice(site.agents), rng)


@fault
async def kill_all(site, rng):
    """Kill all processes at once and restart them soon."""
    await asyncio.gather(*(_restart(program, rng) for program in site.programs))


@fault
async def stop_entry(site, rng):
    """Stop an entry gracefully; it must end within its grace period."""
    program = rng.choice(site.entries)
    async with program.restart_lock:
        await asyncio.wait_for(program.end(signal.SIGTERM), _STOP_TIMEOUT_S)
        await program.start()


@fault
async def reload_all(site, rng):
    """Make all processes reload their settings, up to three times."""
    for _ in range(rng.randint(1, 3)):
        for program in site.programs:
            program.send(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0.05, 0.3))


@fault
async def pause_entry(site, rng):
    """Suspend an entry for a while."""
    await _pause(rng.choice(site.entries), rng)


@fault
async def pause_agent(site, rng):
    """Suspend an agent for a while."""
    await _pause(rng.choice(site.agents), rng)


@fault
async def disturb_store_link(site, rng):
    """Cut, hold in one or both directions, or delay a process's link to the store."""
    await _disturb(site.relays[rng.choice(site.programs).name, "store"], rng)


@fault
async def disturb_worker_link(site, rng):
    """Cut, hold in one or both directions, or delay an agent's link to its worker."""
    await _disturb(site.relays[rng.choice(site.agents).name, "worker"], rng)


@fault
async def store_down(site, rng):
    """Make the store fail for some processes or for all."""
    ports = rng.sample(site.store_ports, max(1, len(site.store_ports) // 3))
    # An empty set makes it fail for all.
    site.store.faulty_ports = frozenset(rng.choice((ports, ())))
    site.store.fault = rng.choice(("busy", "silent", "reset"))
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    site.store.fault = ""


@fault
async def store_unreliable(site, rng):
    """Make the store lose answers, history and leases, and ignore open connections."""
    site.store.lose_every = 2
    site.store.late_ms = rng.choice((0, 1500))
    site.store.forget_history()
    site.store.silence_open()
    site.store.lapse("jujubeglade/")
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    site.store.lose_every = 0


@fault
async def crash_worker(site, rng):
    """Crash a worker; it restarts at once with a new incarnation."""
    rng.choice(site.workers).inner.crash()


@fault
async def bad_worker(site, rng):
    """Make a worker slow, fail all its tasks, or carry out some starts late."""
    inner = rng.choice(site.workers).inner
    name, value = rng.choice(
        (("slowdown", 5.0), ("failure_share", 1.0), ("late_start_share", 0.3))
    )
    former = getattr(inner, name)
    setattr(inner, name, value)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    setattr(inner, name, former)


@fault
async def operate(site, rng):
    """Change the configuration, and evacuate a zone for a while."""
    site.configure(timeoutMs=rng.randint(1000, 2000))
    site.store.put("op/evacuate/zone-0", {})
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    site.store.remove("op/evacuate/zone-0")


async def _restart(program, rng):
    async with program.restart_lock:
        await program.end()
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await program.start()


async def _pause(program, rng):
    async with program.restart_lock:
        program.pause()
        await asyncio.sleep(rng.uniform(0.2, 2.5))
        program.resume()


async def _disturb(relay, rng):
    kind = rng.choice(("cut", "forward", "backward", "both", "delay"))
    if kind == "cut":
        relay.cut()
    elif kind == "delay":
        relay.delay(rng.uniform(20, 400))
    else:
        for direction in (wire.FORWARD, wire.BACKWARD):
            if kind in (direction, "both"):
                relay.hold(direction)
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    relay.heal()

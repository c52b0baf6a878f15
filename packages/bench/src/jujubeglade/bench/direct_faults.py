"""Faults that a soak of direct jobs injects from outside the processes.

Each is a coroutine function of a ProcessSite and of a random.Random that brings the
fault about, waits and heals it. The decorator registers it by name.
"""

import asyncio
import signal

from jujubeglade.fakes import wire

FAULTS = {}
_GRACE_S = 6.5


def fault(function):
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


@fault
async def kill_entry(site, chance):
    """Kill an entry; it comes back soon."""
    await _restart(chance.choice(site.entries), chance)


@fault
async def kill_agent(site, chance):
    """Kill an agent; its worker runs on."""
    await _restart(chance.choice(site.agents), chance)


@fault
async def kill_all(site, chance):
    """Kill all processes at once."""
    await asyncio.gather(*(_restart(each, chance) for each in site.programs))


@fault
async def stop_entry(site, chance):
    """Stop an entry gracefully; it has to end within its grace."""
    program = chance.choice(site.entries)
    async with program.restart_lock:
        await asyncio.wait_for(program.end(signal.SIGTERM), _GRACE_S)
        await program.start()


@fault
async def reload_all(site, chance):
    """Tell all processes that their settings have changed, several times."""
    for _ in range(chance.randint(1, 3)):
        for program in site.programs:
            program.send(signal.SIGHUP)
        await asyncio.sleep(chance.uniform(0.05, 0.3))


@fault
async def pause_entry(site, chance):
    """Let an entry stand still for a while."""
    await _pause(chance.choice(site.entries), chance)


@fault
async def pause_agent(site, chance):
    """Let an agent stand still for a while."""
    await _pause(chance.choice(site.agents), chance)


@fault
async def disturb_store_link(site, chance):
    """Cut, silence, half silence or delay what a process says to the store."""
    await _disturb(site.relays[chance.choice(site.programs).name, "store"], chance)


@fault
async def disturb_worker_link(site, chance):
    """Cut, silence, half silence or delay what an agent says to its worker."""
    await _disturb(site.relays[chance.choice(site.agents).name, "worker"], chance)


@fault
async def store_down(site, chance):
    """Let the store fail for all or for some."""
    some = chance.sample(site.store_ports, max(1, len(site.store_ports) // 3))
    site.store.faulty_ports = frozenset(chance.choice((some, ())))
    site.store.fault = chance.choice(("busy", "silent", "reset"))
    await asyncio.sleep(chance.uniform(0.5, 4.0))
    site.store.fault = ""


@fault
async def store_unreliable(site, chance):
    """Let the store lose answers, forget history and keys, and silence connections."""
    site.store.lose_every = 2
    site.store.late_ms = chance.choice((0, 1500))
    site.store.forget_history()
    site.store.silence_open()
    site.store.lapse("jujubeglade/")
    await asyncio.sleep(chance.uniform(0.5, 3.0))
    site.store.lose_every = 0


@fault
async def crash_worker(site, chance):
    """Let a worker crash; it begins another life at once."""
    chance.choice(site.workers).inner.crash()


@fault
async def bad_worker(site, chance):
    """Let a worker be slow, fail its tasks, or carry orders out late."""
    inner = chance.choice(site.workers).inner
    name, value = chance.choice(
        (("slowdown", 5.0), ("failure_share", 1.0), ("late_start_share", 0.3))
    )
    former = getattr(inner, name)
    setattr(inner, name, value)
    await asyncio.sleep(chance.uniform(0.5, 3.0))
    setattr(inner, name, former)


@fault
async def operate(site, chance):
    """Write a configuration, and take a zone out and back."""
    site.configure(timeoutMs=chance.randint(1000, 2000))
    site.store.put("op/evacuate/zone-0", {})
    await asyncio.sleep(chance.uniform(0.5, 3.0))
    site.store.remove("op/evacuate/zone-0")


async def _restart(program, chance):
    async with program.restart_lock:
        await program.end()
        await asyncio.sleep(chance.uniform(0.0, 1.0))
        await program.start()


async def _pause(program, chance):
    async with program.restart_lock:
        program.pause()
        await asyncio.sleep(chance.uniform(0.2, 2.5))
        program.resume()


async def _disturb(relay, chance):
    kind = chance.choice(("cut", "forward", "backward", "both", "delay"))
    if kind == "cut":
        relay.cut()
    elif kind == "delay":
        relay.delay(chance.uniform(20, 400))
    else:
        for direction in (wire.FORWARD, wire.BACKWARD):
            if kind in (direction, "both"):
                relay.hold(direction)
    await asyncio.sleep(chance.uniform(0.3, 3.0))
    relay.heal()

"""A network in virtual time whose links can be cut, slowed down, silenced and reset.

Each link has two directions. A message arrives after a delay, in order. The close of a
link arrives after the messages that were sent before, unless the network resets it.
"""

import asyncio
import collections
import contextvars

import result

from jujubeglade.core import clock, link, message

_DELAY_MS = 1.5
#: The pause between two checks of whether a frozen entry completes the handshake.
_HANDSHAKE_CHECK_MS = 10
_ROUNDING_MS = 1e-6


class Pipe:
    """One direction of a process's connection to the network, of limited bandwidth."""

    __slots__ = ("_bytes_per_ms", "_free_ms")

    def __init__(self, bytes_per_s):
        """Create an idle pipe.

        Args:
          bytes_per_s: An integer.
        """
        self._bytes_per_ms = bytes_per_s / clock.MILLISECONDS_PER_SECOND
        self._free_ms = 0.0

    def transit_ms(self, now_ms, body):
        """Queue a message behind those that were sent before.

        Args:
          now_ms: A number.
          body: A message.

        Returns:
          A number, the time until it has passed.
        """
        took_ms = len(message.encode(body)) / self._bytes_per_ms
        self._free_ms = max(self._free_ms, now_ms) + took_ms
        return self._free_ms - now_ms


class Direction:
    """The messages in transit from one end of a link to the other."""

    __slots__ = (
        "_context",
        "_in_transit",
        "_is_cut",
        "_last_due_ms",
        "_loop",
        "_pipe",
        "_receiver",
        "delay_ms",
        "is_silent",
        "keeps_aborted",
    )

    def __init__(self, receiver, context, pipe=None):
        """Create a direction without messages.

        Args:
          receiver: The StreamLink at its end.
          context: A contextvars.Context outside of all processes.
          pipe: A Pipe that its messages pass; None for any bandwidth.
        """
        self._pipe = pipe
        self.delay_ms = _DELAY_MS
        #: Whether all messages are lost from now on.
        self.is_silent = False
        #: Whether a cut holds messages that were sent before an abort.
        self.keeps_aborted = False
        self._context = context
        self._receiver = receiver
        self._is_cut = False
        self._last_due_ms = 0.0
        # Pairs of the time of arrival and a function with its arguments.
        self._in_transit = collections.deque()
        self._loop = asyncio.get_running_loop()

    def put(self, function, *arguments):
        """Deliver a call to the receiver after the delay.

        Args:
          function: A function.
          *arguments: Its arguments.
        """
        if self.is_silent:
            return
        due_ms = max(self._now_ms() + self._travel_ms(arguments), self._last_due_ms)
        self._last_due_ms = due_ms
        self._in_transit.append((due_ms, function, arguments))
        due_s = clock.seconds(due_ms)
        self._loop.call_at(due_s, self._deliver, context=self._context)

    def _travel_ms(self, bodies):
        """Return how long messages take to arrive."""
        travel_ms = self.delay_ms
        for body in bodies if self._pipe is not None else ():
            travel_ms += self._pipe.transit_ms(self._now_ms(), body)
        return travel_ms

    def cut(self):
        """Hold all messages from now on."""
        self._is_cut = True

    def heal(self):
        """Deliver the messages that were held."""
        self._is_cut = False
        self._loop.call_soon(self._deliver, context=self._context)

    def clear(self):
        """Lose the messages in transit."""
        self._in_transit.clear()

    def abort(self):
        """Lose the messages that a cut holds."""
        if self._is_cut and not self.keeps_aborted:
            self.clear()

    def _deliver(self):
        while self._in_transit and not self._is_cut:
            due_ms, function, arguments = self._in_transit[0]
            if due_ms > self._now_ms() + _ROUNDING_MS:
                return
            self._in_transit.popleft()
            if not self.is_silent:
                self._receiver.process.receive(function, *arguments)

    def _now_ms(self):
        return self._loop.time() * clock.MILLISECONDS_PER_SECOND


class StreamLink:
    """One end of a link, with the interface of `core.link.Link`."""

    __slots__ = (
        "_closed",
        "_handler",
        "_loop",
        "_outgoing",
        "_peer",
        "last_received_ms",
        "process",
        "remote",
    )

    def __init__(self, remote, process, handler):
        """Create one end; `Network.dial` joins two of them.

        Args:
          remote: An Identity, of the other side.
          process: A Process, of this side.
          handler: An object with `on_message(link, body)`.
        """
        self.remote = remote
        self.process = process
        self._handler = handler
        self._peer = None
        self._outgoing = None
        self._loop = asyncio.get_running_loop()
        self._closed = self._loop.create_future()
        self.last_received_ms = self._now_ms()

    def join(self, peer, outgoing):
        """Set the other end.

        Args:
          peer: A StreamLink.
          outgoing: A Direction, from this end to the other.
        """
        self._peer = peer
        self._outgoing = outgoing

    @property
    def is_open(self):
        """Return whether this end is open."""
        return not self._closed.done()

    @property
    def outgoing(self):
        """Return the Direction from this end to the other."""
        return self._outgoing

    def send(self, body, encoded=None):
        """Send a message.

        Args:
          body: A message.
          encoded: Unused.

        Returns:
          A boolean, false when this end is closed.
        """
        if self.is_open:
            self._outgoing.put(self._peer.receive, body)
        return self.is_open

    def receive(self, body):
        """Pass a message to the handler, if this end is still open."""
        if self.is_open:
            self.last_received_ms = self._now_ms()
            self._handler.on_message(self, body)

    def close(self):
        """Close this end; the other end reads what was sent before."""
        if self.is_open:
            self._outgoing.put(self._peer.break_off)
            self.break_off()

    def abort(self):
        """Close this end; messages that a cut holds are lost."""
        if self.is_open:
            self._outgoing.abort()
            self.close()

    def break_off(self):
        """Note that the link has failed."""
        if self.is_open:
            self._closed.set_result(None)

    async def run(self):
        """Wait until this end is closed."""
        await self.wait_closed()

    async def wait_closed(self):
        """Wait until this end is closed."""
        await asyncio.shield(self._closed)

    def _now_ms(self):
        """Return the monotonic clock of this end's process."""
        now_ms = self._loop.time() * clock.MILLISECONDS_PER_SECOND
        return now_ms - self.process.suspended_ms


class Pair:
    """The two ends of one link."""

    __slots__ = ("agent_end", "entry_end")

    def __init__(self, agent_end, entry_end):
        """Pair two joined ends.

        Args:
          agent_end: A StreamLink.
          entry_end: A StreamLink.
        """
        self.agent_end = agent_end
        self.entry_end = entry_end

    @property
    def directions(self):
        """Return the directions: from the agent, and from the entry."""
        return self.agent_end.outgoing, self.entry_end.outgoing

    @property
    def is_open(self):
        """Return whether one end is open."""
        return self.agent_end.is_open or self.entry_end.is_open

    def reset(self):
        """Close both ends; messages in transit are lost."""
        for direction in self.directions:
            direction.clear()
        for end in (self.agent_end, self.entry_end):
            end.process.receive(end.break_off)

    def silence(self):
        """Lose all messages from now on, while both ends stay open."""
        for direction in self.directions:
            direction.clear()
            direction.is_silent = True

    def half_open(self, end):
        """Close one end without the other's notice.

        Args:
          end: A StreamLink, the end that is closed.
        """
        end.outgoing.clear()
        end.outgoing.is_silent = True
        end.process.receive(end.break_off)

    def close_end(self, process):
        """Close the end of a process that has been killed.

        Args:
          process: A Process.
        """
        for end in (self.agent_end, self.entry_end):
            if end.process is process:
                end.close()

    def set_delay(self, delay_ms):
        """Slow both directions down.

        Args:
          delay_ms: A number.
        """
        for direction in self.directions:
            direction.delay_ms = delay_ms


class Network:
    """The links between agents and entries."""

    __slots__ = ("_context", "_cuts", "_pairs", "_pipes")

    def __init__(self):
        """Create a network without links."""
        self._context = contextvars.copy_context()
        # The last link of each pair of names, an agent's and an entry's.
        self._pairs = {}
        # Pairs of Pipes, to and from an entry, by its name.
        self._pipes = {}
        # The directions that are cut, from the agent and from the entry, by such pairs.
        self._cuts = {}

    def limit(self, entry_name, bytes_per_s):
        """Limit the bandwidth of an entry, in each direction, for new links.

        Args:
          entry_name: A string.
          bytes_per_s: An integer.
        """
        self._pipes[entry_name] = (Pipe(bytes_per_s), Pipe(bytes_per_s))

    def pair(self, agent_name, entry_name):
        """Return the Pair of the last link between two processes; None without one.

        Args:
          agent_name: A string.
          entry_name: A string.
        """
        return self._pairs.get((agent_name, entry_name))

    def pairs_of(self, name):
        """List the links of an agent or an entry.

        Args:
          name: A string.

        Returns:
          A list of Pairs.
        """
        return [pair for names, pair in self._pairs.items() if name in names]

    def cut(self, agent_name, entry_name, from_agent=True, from_entry=True):
        """Hold the messages between two processes; no new link can be opened.

        Args:
          agent_name: A string.
          entry_name: A string.
          from_agent: A boolean, whether messages of the agent are held.
          from_entry: A boolean, whether messages of the entry are held.
        """
        names = (agent_name, entry_name)
        self._cuts[names] = (from_agent, from_entry)
        pair = self._pairs.get(names)
        if pair is not None:
            self._apply(pair, self._cuts[names])

    def heal(self, agent_name, entry_name):
        """Deliver the messages that a cut has held.

        Args:
          agent_name: A string.
          entry_name: A string.
        """
        names = (agent_name, entry_name)
        self._cuts.pop(names, None)
        pair = self._pairs.get(names)
        if pair is not None:
            for direction in pair.directions:
                direction.heal()

    async def dial(self, caller, entry, connect_ms):
        """Open a link from an agent to an entry.

        Args:
          caller: A SimulatedAgent.
          entry: A SimulatedEntry, or None when nothing listens there.
          connect_ms: An integer, the timeout of the connection.

        Returns:
          A Result of a StreamLink, or of a string.
        """
        names = (caller.identity.name, entry.identity.name if entry else "")
        if names in self._cuts:
            await asyncio.sleep(clock.seconds(connect_ms))
            return result.Err("timeout")
        await asyncio.sleep(clock.seconds(2 * _DELAY_MS))
        if entry is None or not await _shake_hands(entry):
            return result.Err("refused")
        agent_end = StreamLink(entry.identity, caller.process, caller)
        entry_end = StreamLink(caller.identity, entry.process, entry)
        to_entry, from_entry = self._pipes.get(names[1], (None, None))
        agent_end.join(entry_end, Direction(entry_end, self._context, to_entry))
        entry_end.join(agent_end, Direction(agent_end, self._context, from_entry))
        self._pairs[names] = Pair(agent_end, entry_end)
        if names in self._cuts:
            self._apply(self._pairs[names], self._cuts[names])
        entry.process.receive(entry.on_link, entry_end)
        return result.Ok(agent_end)

    def _apply(self, pair, cut):
        for direction, is_cut in zip(pair.directions, cut, strict=True):
            if is_cut:
                direction.cut()


async def _shake_hands(entry):
    """Wait for an entry that may be frozen; return whether it has answered."""
    waited_ms = 0
    while not entry.process.is_running:
        if entry.process.is_killed or waited_ms >= link.HANDSHAKE_TIMEOUT_MS:
            return False
        await asyncio.sleep(clock.seconds(_HANDSHAKE_CHECK_MS))
        waited_ms += _HANDSHAKE_CHECK_MS
    return True

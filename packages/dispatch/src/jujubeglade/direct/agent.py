"""The agent of direct jobs: one process beside a worker.

It dials every entry, announces the room of its worker, and runs the attempts that
entries send; see `runner`. It has no persistent state, so attempts that ran before it
started are stopped first.
"""

import asyncio
import contextlib

from jujubeglade.core import clock, link, log, metrics
from jujubeglade.direct import (
    announcer,
    contract,
    dialing,
    options,
    owners,
    process,
    report_cache,
    route,
    runner,
    subset,
)

_TICK_MS = 50
#: A start reaches the worker within this time after it was admitted.
_START_MARGIN_MS = 400
#: The part of the grace period that is reserved for closing.
_CLOSING_RESERVE_MS = 500

_log = log.get(__name__)


class Agent(process.Process):
    """One agent process."""

    def __init__(self, settings, clock):
        """Create the components; nothing runs yet.

        Args:
          settings: The DirectAgentSettings.
          clock: A Clock.
        """
        super().__init__(settings, clock, "agent")
        self._worker_client = self._platform.new_worker_client(settings, self._inbound)
        # The owners by incarnation.
        self._owners = {}
        # The addresses of the entries that other agents serve.
        self._unwanted_addresses = frozenset()
        self._announcer = announcer.new_announcer(
            clock, self._owners, self._describe_room, self._coordinates, self._metrics
        )
        self._runner = runner.Runner(
            self._worker_client,
            clock,
            _limits(settings),
            self._is_evacuated,
            self._announcer,
            self._metrics,
        )
        self._dialer = dialing.Dialer(clock, self._background, self)

    async def start(self):
        """Open the ports and start the tasks."""
        self._cluster_state.subscribe(self._on_cluster_state)
        await self._worker_client.open(self._runner)
        await self._open(self._measure)
        self._keep(self._runner.run)
        name = self._settings.name
        self._keep(report_cache.ReportCache(self._store, name, self._runner).run)
        self._keep(self._tick)
        self._dial_entries()
        _log.info("started", incarnation=self._identity.incarnation)

    async def stop(self):
        """Leave gracefully: accept no new attempts, and wait for running ones."""
        _log.info("leaving")
        self._runner.leaving = True
        self._announcer.on_state_change()
        grace_ms = self._settings.grace_ms - _CLOSING_RESERVE_MS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock.seconds(grace_ms)):
                while not self._runner.is_idle:
                    await asyncio.sleep(clock.seconds(_TICK_MS))
        # The last Ended messages must be sent before the links close.
        await asyncio.sleep(clock.seconds(_TICK_MS))
        await self.close()
        _log.info("stopped")

    async def close(self):
        """Close everything at once."""
        for owner in self._owners.values():
            owner.link.close()
        await self._close()
        await self._runner.close()
        await self._worker_client.close()

    def reload(self, settings):
        """Apply the settings that may change while the process runs: the seeds.

        Args:
          settings: The DirectAgentSettings.
        """
        self._settings = settings
        self._dial_entries()

    def on_message(self, link, body):
        """Handle a message of an entry.

        Args:
          link: The Link.
          body: A message of `contract`.
        """
        owner = self._owners.get(link.remote.incarnation)
        if owner is None or owner.link is not link or not link.is_open:
            # A closed link may still have messages that were received before.
            return
        owner.note_received(self._clock.elapsed_ms())
        if isinstance(body, contract.Begin):
            self._runner.begin(owner, body)
        elif isinstance(body, contract.Halt):
            self._runner.halt(owner, body)
        elif isinstance(body, contract.Beat):
            self._handle_beat(owner, body)
        else:
            self._cluster_state.offer(body, owner.identity.name)

    def _handle_beat(self, owner, beat):
        is_news = beat.configuration > self._newest_configuration()
        self._announcer.on_beat(owner, beat)
        if is_news:
            # Owners that can't read the store learn that there is a newer one.
            self._announcer.on_state_change()
        owner.views.send_newer(self._cluster_state, owner.link)

    def _measure(self):
        """Set the gauges."""
        self._metrics.set(metrics.Gauge.RUNNING, self._runner.running)
        self._metrics.set(
            metrics.Gauge.REVISION, self._cluster_state.evacuations.revision
        )

    def _is_evacuated(self):
        """Return whether the zone is out of service; true until that is known."""
        evacuations = self._cluster_state.evacuations
        is_unknown = evacuations is route.NO_EVACUATIONS
        return is_unknown or self._settings.zone in evacuations.zones

    def _on_cluster_state(self, view):
        if isinstance(view, contract.Members):
            self._dial_entries()
            return
        for owner in self._owners.values():
            owner.views.send_newer(self._cluster_state, owner.link)
        self._announcer.on_state_change()

    def _dial_entries(self):
        """Dial the entries that this agent serves, and retire the other ones.

        Seeds that the store does not list are dialed too: they may run while their
        registration, or the store, is away.
        """
        members = frozenset(self._cluster_state.members.addresses)
        chosen = subset.choose(self._settings.name, members)
        unlisted_seeds = [seed for seed in self._seeds() if seed not in members]
        self._unwanted_addresses = members - chosen
        self._dialer.follow(
            (*sorted(chosen), *unlisted_seeds), self._unwanted_addresses
        )
        self._retire_owners()

    def _retire_owners(self):
        now_ms = self._clock.elapsed_ms()
        owners.retire(self._owners, self._unwanted_addresses, now_ms)

    async def dial(self, address, connect_ms):
        """Open a link to an entry.

        Args:
          address: A string, HOST:PORT.
          connect_ms: An integer, the timeout of the connection.

        Returns:
          A Result of a Link, or of a Problem.
        """
        return await link.dial(
            dialing.parse_address(address),
            self._cluster_key,
            self._identity,
            self,
            connect_ms,
        )

    def _seeds(self):
        """List the seeds, the entries in the settings, with the port of all entries."""
        port = self._settings.stream.port
        return tuple(f"{host}:{port}" for host in self._settings.seeds)

    async def serve(self, link, address):
        """Serve one entry until the link closes.

        Args:
          link: A Link.
          address: A string, HOST:PORT at which it was dialed.
        """
        incarnation = link.remote.incarnation
        now_ms = self._clock.elapsed_ms()
        owner = self._owners.get(incarnation)
        if owner is None:
            owner = self._owners[incarnation] = owners.Owner(link, now_ms)
        else:
            owner.relink(link, now_ms)
        owner.address = address
        # The entries may have changed while this one was dialed.
        self._retire_owners()
        _log.info("entry reached", entry=link.remote.name, incarnation=incarnation)
        owner.send(self._runner.roster(owner))
        if self._runner.crash_watch.recent:
            owner.send(contract.Crashes(self._runner.crash_watch.recent))
        self._announcer.send_room(owner)
        await link.run()
        _log.warning("entry lost", entry=link.remote.name, incarnation=incarnation)

    def _coordinates(self):
        """Return whether the entries coordinate how they use scarce room."""
        entries = len(self._cluster_state.members.addresses)
        return options.of_settings(self._settings).coordinates(entries)

    def _describe_room(self):
        """Describe the room, with the revisions of the cluster state."""
        return self._runner.room(
            self._newest_configuration(),
            self._cluster_state.evacuations.revision,
            self._cluster_state.members.revision,
            self._owners.values(),
        )

    def _newest_configuration(self):
        """Return the revision of the newest Configuration that an owner has."""
        revisions = [owner.configuration_revision for owner in self._owners.values()]
        return max(revisions, default=0)

    def _operators_prefix(self):
        """Return the prefix of the evacuations; an agent needs no routes."""
        return self._platform.evacuations_prefix

    async def _tick(self):
        """Send heartbeats and drop lost owners, until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(_TICK_MS))
            now_ms = self._clock.elapsed_ms()
            owners.close_retired(self._owners, self._runner, now_ms)
            owners.drop_silent(self._owners, self._runner, now_ms)
            self._announcer.send_heartbeats()


def _limits(settings):
    """Return the Limits of a runner that the settings of its agent imply."""
    report_ms = settings.contact_timeout_ms + settings.report_interval_ms
    return runner.Limits(
        settings.hold_ms, settings.resubmit_ms, report_ms - _START_MARGIN_MS
    )


def new_agent(settings):
    """Make an agent.

    Args:
      settings: The DirectAgentSettings.

    Returns:
      An Agent; start it with `start`.
    """
    return Agent(settings, clock.system_clock())

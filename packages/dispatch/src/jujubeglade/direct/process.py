"""The common base of the entry and the agent processes of direct jobs.

Both follow the operators' and the entries' keys in the store, send newer views to their
peers, serve metrics, and cancel their tasks when they close.
"""

from jujubeglade.core import inbound, link, metrics, metrics_page, store, ticket
from jujubeglade.direct import (
    background,
    cluster_state,
    contract,
    follower,
    platforms,
    registration,
)


class Process:
    """One process; the base class of `entry.Entry` and `agent.Agent`."""

    def __init__(self, settings, clock, role):
        """Create the components; nothing runs yet.

        Args:
          settings: A DirectEntrySettings or DirectAgentSettings.
          clock: A Clock.
          role: A string, `entry` or `agent`.
        """
        self._settings = settings
        self._clock = clock
        self._cluster_key = settings.cluster_key.encode("utf-8")
        self._identity = link.Identity(
            role, settings.name, ticket.new_incarnation(), settings.zone
        )
        self._platform = platforms.find(settings.platform)
        self._cluster_state = cluster_state.new_cluster_state()
        self._metrics = metrics.open_metrics()
        self._inbound = inbound.new_inbound(settings.inbound, self._metrics)
        self._background = background.new_background()
        self._store = None
        self._page = None
        # Of the last configuration that could not be read.
        self._unreadable_revision = 0

    async def _open(self, measure):
        """Connect to the store, serve metrics and start the followers.

        Args:
          measure: A function without arguments that sets the gauges.
        """
        store_settings = self._settings.store
        self._store = store.connect(
            store.Settings(
                store_settings.address,
                driver=store_settings.driver,
                timeout_ms=store_settings.timeout_ms,
            )
        ).unwrap()
        if self._settings.metrics is not None:
            await self._serve_metrics(measure)
        for store_follower in self._followers():
            self._keep(store_follower.run)

    async def _close(self):
        """Cancel the tasks, and close what `_open` opened."""
        await self._background.close()
        if self._page is not None:
            await self._page.close()
        await self._store.close()

    async def _serve_metrics(self, measure):
        def measure_all():
            self._inbound.measure()
            measure()

        app = metrics_page.application(self._metrics, measure_all)
        address = self._settings.metrics
        self._page = await metrics_page.serve(app, address, self._inbound)

    def _followers(self):
        """Make the followers that keep the cluster state up to date."""

        def offer_operators(entries, revision):
            evacuations = self._platform.read_evacuations(entries, revision)
            self._cluster_state.offer(evacuations, "store")
            self._offer_configuration(entries.get(self._platform.configuration_key))

        reader = registration.AddressReader()

        def offer_members(entries, revision):
            addresses = reader.read(entries)
            self._cluster_state.offer(contract.Members(revision, addresses), "store")

        return (
            follower.Follower(self._store, self._operators_prefix(), offer_operators),
            follower.Follower(self._store, registration.PREFIX, offer_members),
        )

    def _offer_configuration(self, entry):
        """Decode the configuration, unless this process has it already.

        Args:
          entry: A store.Entry, or None when there is no configuration.
        """
        known_revision = self._cluster_state.configuration.revision
        if entry is None or entry.mod_revision <= known_revision:
            return
        if entry.mod_revision == self._unreadable_revision:
            return
        configuration = self._platform.read_configuration(entry)
        if configuration is None:
            self._unreadable_revision = entry.mod_revision
        else:
            self._cluster_state.offer(configuration, "store")

    def _operators_prefix(self):
        """Return the prefix of the operators' keys that this process follows."""
        raise NotImplementedError

    def _keep(self, run):
        return self._background.keep(run)

    def _spawn(self, coroutine):
        return self._background.spawn(coroutine)

"""The entry process, which connects clients, operators, agents and the store."""

import asyncio
import contextlib

import result
from aiohttp import web

from jujubeglade.core import (
    audit,
    clock,
    configuration,
    inbound,
    journal,
    link,
    log,
    member,
    metrics,
    metrics_page,
    problem,
    settings,
    store,
    ticket,
)
from jujubeglade.entry import (
    acceptance,
    archive,
    callers,
    freshness,
    http_server,
    issuer,
    latest,
    ledger,
    membership,
    operators,
    peers,
    refusals,
    router,
    vote,
)

_TICK_INTERVAL_MS = 500
_IN_FORCE_TIMEOUT_MS = 4000
_POLL_INTERVAL_MS = 50

_log = log.get(__name__)


class Entry:
    """One entry process and its components."""

    def __init__(self, entry_settings, entry_clock):
        """Create the components; `start` runs them.

        Args:
          entry_settings: The EntrySettings.
          entry_clock: A Clock.
        """
        self.settings = entry_settings
        self.limits = entry_settings.limits
        self.clock = entry_clock
        self.cluster_key = entry_settings.cluster_key.encode("utf-8")
        incarnation = ticket.new_incarnation()
        self.identity = link.Identity(
            "entry", entry_settings.name, incarnation, entry_settings.zone
        )
        self.journal = journal.open_journal(
            entry_settings.name,
            incarnation,
            entry_clock,
            entry_settings.limits.audit_records,
            self.cluster_key,
        )
        # The sequence number of the last stored record of each agent, by incarnation.
        self._stored_sequences = {}
        self.membership = membership.Membership(entry_clock, self.journal)
        self.issuer = issuer.Issuer(
            entry_clock,
            self.cluster_key,
            self.membership,
            entry_settings.limits.candidates + 1,
            self._is_drained,
        )
        self.router = router.Router(entry_clock, self.membership, entry_settings.limits)
        self.latest = latest.LatestDocument()
        self.latest.subscribe(self._on_document)
        self._create_agreement()
        self._configuration = member.Configuration(0, b"{}")
        self.metrics = metrics.open_metrics()
        self.inbound = inbound.new_inbound(
            entry_settings.inbound, self.metrics, entry_settings.limits.max_body_bytes
        )
        self.refusals = refusals.Refusals(entry_clock, self.journal, self.metrics)
        self._gate = http_server.Gate(self.refusals, lambda: self.limits.max_jobs)
        self._could_grant_permits = False
        self._tasks = set()
        self._listener = None
        self._http_server = None
        self._metrics_listener = None
        self.store = None

    @property
    def http_port(self):
        """Return the port of the HTTP interface, once started."""
        return self._http_server.port

    @property
    def metrics_port(self):
        """Return the port of the metrics page, once started with an address for it."""
        return self._metrics_listener.port

    async def start(self):
        """Open the ports and start the background tasks."""
        self.store = store.connect(
            store.Settings(
                self.settings.store.address,
                driver=self.settings.store.driver,
                timeout_ms=self.settings.store.timeout_ms,
                token=self.settings.store.token,
            )
        ).unwrap()
        self.ledger = ledger.Ledger(self.store, self.latest, self.clock)
        self.ledger.subscribe_reads(self.freshness.on_store_read)
        self.archive = archive.open_archive(self.journal, self.store, self.clock)
        self.archive.subscribe_stored(self._on_stored)
        stream = self.settings.stream
        self._listener = await link.serve(
            (stream.host, stream.port),
            self.cluster_key,
            self.identity,
            self,
            self.settings.limits.max_connections,
            self.inbound,
        )
        await self._open_http()
        components = (
            self.ledger,
            self.freshness,
            self.acceptance,
            self.peers,
            self.archive,
        )
        for component in components:
            self._spawn(component.run())
        self._spawn(self._tick())

    async def stop(self):
        """Shut down gracefully: finish the accepted requests, then close everything."""
        _log.info("leaving", requests=self._gate.in_progress)
        self._gate.leaving = True
        grace = clock.seconds(self.limits.drain_grace_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace):
                while self._gate.in_progress:
                    await asyncio.sleep(clock.seconds(_POLL_INTERVAL_MS))
        self.journal.close()
        await self.archive.finish()
        await self.close()

    async def close(self):
        """Close everything immediately."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.peers.close()
        for agent in self.membership.live_agents():
            agent.link.close()
        await self._listener.close()
        await self._http_server.close()
        if self._metrics_listener is not None:
            await self._metrics_listener.close()
        await self.store.close()

    async def submit(self, submission, job_ticket, wait_ms):
        """Submit a checked job to its owner.

        Args:
          submission: A Submission.
          job_ticket: The Ticket of the job.
          wait_ms: An integer, how long the answer may take.

        Returns:
          A Result of an Answer, or of a Problem.
        """
        return await self.router.submit(submission, job_ticket, wait_ms)

    async def change(self, change, command):
        """Change the configuration.

        Args:
          change: A change of `configuration`.
          command: A Command.

        Returns:
          A Result of a pair of the Outcome and the Stage that was reached within
          `_IN_FORCE_TIMEOUT_MS`, or of a Problem.
        """
        submitted = await self.ledger.submit(change, command)
        if submitted.is_err():
            return submitted
        outcome = submitted.ok_value
        await self.acceptance.spread()
        stage = await self._await_in_force(outcome.revision)
        return result.Ok((outcome, stage))

    def on_link(self, peer_link):
        """Send the configuration to an agent that has connected.

        Args:
          peer_link: The Link.
        """
        if peer_link.remote.role == "agent":
            peer_link.send(self._configuration)
            self._spawn(self._watch_agent(peer_link))

    def on_message(self, peer_link, body):
        """Process a heartbeat and answer it with a permit.

        Args:
          peer_link: The Link.
          body: A message; one that is not a Heartbeat is ignored.
        """
        if not isinstance(body, member.Heartbeat):
            return
        if body.records:
            self._offer_records(body.records)
        if self.membership.record_heartbeat(peer_link, body):
            self.issuer.invalidate()
        permit = self.freshness.permit(self.clock.now_ms())
        if body.revision < permit.revision:
            peer_link.send(self._configuration)
        peer_link.send(
            member.Permit(
                body.sent_ms,
                permit.revision,
                int(permit.remaining_ms),
                self._stored_sequences.get(body.member.incarnation, 0),
            )
        )

    async def on_request(self, peer_link, body):
        """Answer a request of another entry, or one for audit records.

        Args:
          peer_link: The Link.
          body: A request of `vote`, or an audit.Ask.

        Returns:
          The answer's body, or a Problem.
        """
        if isinstance(body, audit.Ask):
            return audit.answer(body, self.journal)
        if peer_link.remote.role != "entry":
            return problem.Problem(
                problem.Kind.FRAME,
                "only another entry may send this request",
                "run the same version of jujubeglade everywhere",
            )
        return self.peers.serve(body)

    def _create_agreement(self):
        """Create the components by which the entries agree on the configuration."""
        others = [
            entry for entry in self.settings.entries if entry.name != self.settings.name
        ]
        names = [entry.name for entry in others]
        voter = vote.Voter(self.settings.name, names, self.latest)
        self.peers = peers.Peers(self.identity, self.cluster_key, others, voter)
        self.freshness = freshness.Freshness(
            voter,
            self.latest,
            self.clock,
            self.peers.ask,
            vote.fetcher(self.settings.name, self.peers.ask),
            self.settings.limits.permit_ms,
        )
        self.acceptance = acceptance.Acceptance(
            voter,
            self.latest,
            self.clock,
            self.peers.ask,
            self.settings.limits.permit_ms,
        )

    def _application(self):
        app = web.Application(middlewares=[self._gate.middleware()])
        callers.Callers(self).add_routes(app)
        operators.Operators(self).add_routes(app)
        app.router.add_get("/health", self._health)
        app.router.add_get("/ready", self._ready)
        return app

    async def _open_http(self):
        """Open the HTTP ports: of clients and operators, and of the metrics."""
        http = self.settings.http
        self._http_server = http_server.Server(
            self._application(),
            lambda: self.limits.max_connections,
            process_inbound=self.inbound,
        )
        await self._http_server.start(http.host, http.port)
        if self.settings.metrics is not None:
            page = metrics_page.application(self.metrics, self._measure)
            self._metrics_listener = await metrics_page.serve(
                page, self.settings.metrics, self.inbound
            )

    def _measure(self):
        """Update the gauges."""
        self.inbound.measure()
        permit = self.freshness.permit(self.clock.now_ms())
        self.metrics.set(metrics.Gauge.PERMIT, int(permit.remaining_ms))
        self.metrics.set(metrics.Gauge.BACKLOG, self.archive.backlog)
        self.metrics.set(metrics.Gauge.LOST, self.journal.lost_count)
        self.metrics.set(metrics.Gauge.WORKERS, len(self.membership))
        self.metrics.set(metrics.Gauge.REVISION, self.latest.revision)
        self.metrics.set(metrics.Gauge.REQUESTS, self._gate.in_progress)

    async def _health(self, request):
        return web.json_response({"status": "ok"})

    async def _ready(self, request):
        permit = self.freshness.permit(self.clock.now_ms())
        can_serve = permit.remaining_ms and len(self.membership)
        ready = bool(can_serve and not self._gate.leaving)
        body = {
            "status": "ready" if ready else "not ready",
            "workers": len(self.membership),
            "revision": permit.revision,
            "permit_ms": int(permit.remaining_ms),
        }
        return web.json_response(body, status=200 if ready else 503)

    def _is_drained(self, agent_member):
        document = self.latest.document
        zones, workers = document.drained_zones, document.drained_workers
        return agent_member.zone in zones or agent_member.name in workers

    def _on_document(self, document):
        """Apply a newer configuration document and send it to the agents."""
        self.limits = settings.limits_in_force(self.settings.limits, document.limits)
        _log.info("configuration applied", revision=document.revision)
        document_bytes = configuration.dump(configuration.without_outcomes(document))
        self._configuration = member.Configuration(document.revision, document_bytes)
        self.journal.record(
            journal.Kind.CONFIGURATION,
            str(document.revision),
            revision=document.revision,
        )
        self.issuer.invalidate()
        for agent in self.membership.live_agents():
            agent.link.send(self._configuration)

    def _offer_records(self, records):
        """Offer an agent's records to the archive; the agent resends refused ones."""
        unpacked = journal.unpack(records)
        if unpacked.is_ok():
            self.archive.offer(unpacked.ok_value)

    def _on_stored(self, process, incarnation, sequence):
        self._stored_sequences[incarnation] = sequence

    async def _await_in_force(self, revision):
        end_ms = self.clock.now_ms() + _IN_FORCE_TIMEOUT_MS
        stage = self.acceptance.stage(revision)
        while stage != acceptance.Stage.IN_FORCE and self.clock.now_ms() < end_ms:
            await asyncio.sleep(clock.seconds(_POLL_INTERVAL_MS))
            stage = self.acceptance.stage(revision)
        return stage

    async def _watch_agent(self, agent_link):
        """Watch the link of an agent until it closes; then remove the agent."""
        watching = asyncio.create_task(
            agent_link.watch(lambda: agent_link.has_pending_requests)
        )
        await agent_link.wait_closed()
        watching.cancel()
        self._stored_sequences.pop(agent_link.remote.incarnation, None)
        self.membership.remove_link(agent_link)
        self.issuer.invalidate()

    async def _tick(self):
        while True:
            await asyncio.sleep(clock.seconds(_TICK_INTERVAL_MS))
            self.membership.close_overdue_links()
            self.journal.mark_when_idle()
            self._log_freshness()

    def _log_freshness(self):
        """Log once when permits can no longer be granted, and once when they can."""
        permit = self.freshness.permit(self.clock.now_ms())
        can_grant_permits = permit.remaining_ms > 0
        if can_grant_permits == self._could_grant_permits:
            return
        self._could_grant_permits = can_grant_permits
        if can_grant_permits:
            _log.info("permits granted", revision=permit.revision)
        else:
            _log.error("no permit can be granted", revision=permit.revision)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def new_entry(entry_settings):
    """Create an entry.

    Args:
      entry_settings: The EntrySettings.

    Returns:
      An Entry; start it with `start`.
    """
    return Entry(entry_settings, clock.system_clock())

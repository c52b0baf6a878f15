"""The entry: one process between clients, operators, agents and the store."""

import asyncio
import contextlib

import result
from aiohttp import web

from jujubeglade.core import (
    audit,
    clock,
    configuration,
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

_TICK_MS = 500
_IN_FORCE_PATIENCE_MS = 4000
_STAGE_POLL_MS = 50

_log = log.get(__name__)


class Entry:
    """One entry process and its parts."""

    def __init__(self, own, wall):
        """Build the parts; nothing runs yet.

        Args:
          own: The EntrySettings.
          wall: A Clock.
        """
        self.settings = own
        self.limits = own.limits
        self.clock = wall
        self.cluster_key = own.cluster_key.encode("utf-8")
        incarnation = ticket.new_incarnation()
        self.identity = link.Identity("entry", own.name, incarnation, own.zone)
        self.journal = journal.open_journal(
            own.name,
            incarnation,
            wall,
            own.limits.audit_records,
            self.cluster_key,
        )
        # The last record of each agent that the store holds, by incarnation.
        self._stored = {}
        self.membership = membership.Membership(wall, self.journal)
        self.issuer = issuer.Issuer(
            wall,
            self.cluster_key,
            self.membership,
            own.limits.candidates + 1,
            self._is_drained,
        )
        self.router = router.Router(wall, self.membership, own.limits)
        self.latest = latest.LatestDocument()
        self.latest.subscribe(self._on_document)
        self._build_agreement()
        self._configuration = member.Configuration(0, b"{}")
        self.metrics = metrics.open_metrics()
        self.refusals = refusals.Refusals(wall, self.journal, self.metrics)
        self._gate = http_server.Gate(self.refusals, lambda: self.limits.max_jobs)
        self._was_fresh = False
        self._tasks = set()
        self._server = None
        self._http = None
        self._metrics_runner = None
        self.store = None

    @property
    def http_port(self):
        """Return the port of the HTTP interface, once started."""
        return self._http.port

    @property
    def metrics_port(self):
        """Return the port of the metrics, once started with an address for them."""
        return self._metrics_runner.addresses[0][1]

    async def start(self):
        """Open the ports and start the tasks."""
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
        self._server = await link.serve(
            (stream.host, stream.port),
            self.cluster_key,
            self.identity,
            self,
            self.settings.limits.max_connections,
        )
        await self._open_http()
        parts = (self.ledger, self.freshness, self.acceptance, self.peers, self.archive)
        for part in parts:
            self._spawn(part.run())
        self._spawn(self._tick())

    async def stop(self):
        """Leave gracefully: answer what was taken, then close everything."""
        _log.info("leaving", requests=self._gate.in_progress)
        self._gate.leaving = True
        grace = clock.seconds(self.limits.drain_grace_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace):
                while self._gate.in_progress:
                    await asyncio.sleep(clock.seconds(_STAGE_POLL_MS))
        self.journal.close()
        await self.archive.finish()
        await self.close()

    async def close(self):
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.peers.close()
        for presence in self.membership.live_agents():
            presence.link.close()
        await self._server.close()
        await self._http.close()
        if self._metrics_runner is not None:
            await self._metrics_runner.cleanup()
        await self.store.close()

    async def submit(self, submission, held, wait_ms):
        """Hand a checked submission to its owner.

        Args:
          submission: A Submission.
          held: Its Ticket.
          wait_ms: An integer, how long the answer may take.

        Returns:
          A Result of an Answer, or of a Problem.
        """
        return await self.router.submit(submission, held, wait_ms)

    async def change(self, change, command):
        """Change the configuration.

        Args:
          change: A change of `configuration`.
          command: A Command.

        Returns:
          A Result of a pair of an Outcome and the Stage reached, or of a Problem.
        """
        submitted = await self.ledger.submit(change, command)
        if submitted.is_err():
            return submitted
        outcome = submitted.ok_value
        await self.acceptance.spread()
        stage = await self._await_in_force(outcome.revision)
        return result.Ok((outcome, stage))

    def on_link(self, opened):
        """Hand a new agent the configuration.

        Args:
          opened: The Link.
        """
        if opened.remote.role == "agent":
            opened.send(self._configuration)
            self._spawn(self._watch_agent(opened))

    def on_message(self, opened, body):
        """Take a heartbeat and answer it with a permit.

        Args:
          opened: The Link.
          body: A Heartbeat.
        """
        if not isinstance(body, member.Heartbeat):
            return
        if body.records:
            self._take_records(body.records)
        if self.membership.note(opened, body):
            self.issuer.forget()
        granted = self.freshness.permit(self.clock.now_ms())
        if body.revision < granted.revision:
            opened.send(self._configuration)
        opened.send(
            member.Permit(
                body.sent_ms,
                granted.revision,
                int(granted.remaining_ms),
                self._stored.get(body.member.incarnation, 0),
            )
        )

    async def on_request(self, opened, body):
        """Serve another entry.

        Args:
          opened: The Link.
          body: A message of `peers`.

        Returns:
          The answer's body, or a Problem.
        """
        if isinstance(body, audit.Ask):
            return audit.answer(body, self.journal)
        if opened.remote.role != "entry":
            return problem.Problem(
                problem.Kind.FRAME, "only entries ask entries", "run the same version"
            )
        return self.peers.serve(body)

    def _build_agreement(self):
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
        app = web.Application(
            client_max_size=self.limits.max_body_bytes,
            middlewares=[self._gate.middleware()],
        )
        callers.Callers(self).add_routes(app)
        operators.Operators(self).add_routes(app)
        app.router.add_get("/health", self._health)
        app.router.add_get("/ready", self._ready)
        return app

    async def _open_http(self):
        """Listen for clients and operators, and for readers of the metrics."""
        http = self.settings.http
        self._http = http_server.Server(
            self._application(), lambda: self.limits.max_connections
        )
        await self._http.start(http.host, http.port)
        if self.settings.metrics is not None:
            page = metrics_page.application(self.metrics, self._measure)
            self._metrics_runner = await metrics_page.serve(page, self.settings.metrics)

    def _measure(self):
        """Set the gauges."""
        granted = self.freshness.permit(self.clock.now_ms())
        self.metrics.set(metrics.Gauge.PERMIT, int(granted.remaining_ms))
        self.metrics.set(metrics.Gauge.BACKLOG, self.archive.backlog)
        self.metrics.set(metrics.Gauge.LOST, self.journal.lost_count)
        self.metrics.set(metrics.Gauge.WORKERS, len(self.membership))
        self.metrics.set(metrics.Gauge.REVISION, self.latest.revision)
        self.metrics.set(metrics.Gauge.REQUESTS, self._gate.in_progress)

    async def _health(self, request):
        return web.json_response({"status": "ok"})

    async def _ready(self, request):
        granted = self.freshness.permit(self.clock.now_ms())
        fresh = granted.remaining_ms and len(self.membership)
        ready = bool(fresh and not self._gate.leaving)
        body = {
            "status": "ready" if ready else "not ready",
            "workers": len(self.membership),
            "revision": granted.revision,
            "permit_ms": int(granted.remaining_ms),
        }
        return web.json_response(body, status=200 if ready else 503)

    def _is_drained(self, each):
        document = self.latest.document
        zones, workers = document.drained_zones, document.drained_workers
        return each.zone in zones or each.name in workers

    def _on_document(self, document):
        self.limits = settings.limits_in_force(self.settings.limits, document.limits)
        _log.info("configuration applied", revision=document.revision)
        dumped = configuration.dump(configuration.without_outcomes(document))
        self._configuration = member.Configuration(document.revision, dumped)
        self.journal.record(
            journal.Kind.CONFIGURATION,
            str(document.revision),
            revision=document.revision,
        )
        self.issuer.forget()
        for presence in self.membership.live_agents():
            presence.link.send(self._configuration)

    def _take_records(self, records):
        """Offer an agent's records; what is refused it sends again."""
        unpacked = journal.unpack(records)
        if unpacked.is_ok():
            self.archive.offer(unpacked.ok_value)

    def _on_stored(self, process, incarnation, sequence):
        self._stored[incarnation] = sequence

    async def _await_in_force(self, revision):
        end_ms = self.clock.now_ms() + _IN_FORCE_PATIENCE_MS
        stage = self.acceptance.stage(revision)
        while stage != acceptance.Stage.IN_FORCE and self.clock.now_ms() < end_ms:
            await asyncio.sleep(clock.seconds(_STAGE_POLL_MS))
            stage = self.acceptance.stage(revision)
        return stage

    async def _watch_agent(self, opened):
        watching = asyncio.create_task(
            opened.watch(lambda: opened.has_pending_requests)
        )
        await opened.wait_closed()
        watching.cancel()
        self._stored.pop(opened.remote.incarnation, None)
        self.membership.lose(opened)
        self.issuer.forget()

    async def _tick(self):
        while True:
            await asyncio.sleep(clock.seconds(_TICK_MS))
            self.membership.sweep()
            self.journal.mark_when_idle()
            self._log_freshness()

    def _log_freshness(self):
        """Log once when permits can't be granted any more, and once when they can."""
        granted = self.freshness.permit(self.clock.now_ms())
        fresh = granted.remaining_ms > 0
        if fresh == self._was_fresh:
            return
        self._was_fresh = fresh
        if fresh:
            _log.info("permits granted", revision=granted.revision)
        else:
            _log.error("no permit can be granted", revision=granted.revision)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def new_entry(own):
    """Make an entry.

    Args:
      own: The EntrySettings.

    Returns:
      An Entry; start it with `start`.
    """
    return Entry(own, clock.system_clock())

"""The status pages of an agent: health, readiness and metrics.

| page           | answer                                                          |
|----------------|-----------------------------------------------------------------|
| `GET /health`  | 200 while the process serves                                    |
| `GET /ready`   | 200 while tasks may start here, else 503 and the reason         |
| `GET /metrics` | the metrics in the text format                                  |
"""

from aiohttp import web

from jujubeglade.core import metrics, metrics_page

_MAX_TENANTS = 50


class Status:
    """The status pages of one agent."""

    __slots__ = ("_agent", "_metrics")

    def __init__(self, agent):
        """Create the pages.

        Args:
          agent: The Agent.
        """
        self._agent = agent
        self._metrics = metrics.open_metrics(_MAX_TENANTS)

    @property
    def metrics(self):
        """Return the Metrics of the agent."""
        return self._metrics

    def application(self, inbound):
        """Create the web application of all pages.

        Args:
          inbound: The Inbound of the agent.

        Returns:
          An aiohttp.web.Application.
        """
        app = self.metrics_application(inbound)
        app.router.add_get("/health", self._health)
        app.router.add_get("/ready", self._ready)
        return app

    def metrics_application(self, inbound):
        """Create the web application of the metrics alone.

        Args:
          inbound: The Inbound of the agent.

        Returns:
          An aiohttp.web.Application.
        """

        def measure():
            inbound.measure()
            self._measure()

        return metrics_page.application(self._metrics, measure)

    async def _health(self, request):
        return web.json_response({"status": "ok"})

    async def _ready(self, request):
        refusal = self._agent.refusal()
        status = 200 if refusal is None else 503
        text = "ready" if refusal is None else str(refusal)
        return web.json_response({"status": text}, status=status)

    def _measure(self):
        """Update the metrics."""
        agent, values = self._agent, self._metrics
        load = agent.executor.load()
        values.set(metrics.Gauge.QUEUE, load.queued)
        values.set(metrics.Gauge.RUNNING, load.running)
        values.set(metrics.Gauge.PERMIT, agent.permits.remaining_ms())
        values.set(metrics.Gauge.REVISION, agent.permits.revision)
        values.set(metrics.Gauge.BACKLOG, agent.journal.backlog)
        values.set(metrics.Gauge.LOST, agent.journal.lost_count)
        values.set(metrics.Gauge.UNPLACED, agent.home.scheduler.queued)
        extra_starts = agent.home.scheduler.extra_starts
        values.set_count(metrics.Counter.RETRIED, extra_starts["retried"])
        values.set_count(metrics.Counter.HEDGED, extra_starts["hedged"])
        values.set_count(metrics.Counter.STARTED, agent.executor.started)
        for reason, total in agent.executor.rejected.items():
            values.set_count(metrics.Counter.REJECTED, total, str(reason))
        for tenant, total in agent.home.accepted.items():
            values.set_count(metrics.Counter.ACCEPTED, total, tenant)
        for state, total in agent.home.answered.items():
            values.set_count(metrics.Counter.ANSWERED, total, str(state))

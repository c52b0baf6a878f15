"""The page with the metrics of a process: GET /metrics.

    app = metrics_page.application(process_metrics, measure)
    listener = await metrics_page.serve(app, address, inbound)

Gauges are measured when the page is requested, not while the process works.
"""

from aiohttp import web

from jujubeglade.core import inbound, link, metrics


def application(process_metrics, measure):
    """Make an application that serves only this page.

    Args:
      process_metrics: A Metrics.
      measure: A function without arguments that sets the gauges of
        `process_metrics`.

    Returns:
      An aiohttp.web.Application.
    """
    app = web.Application()
    add_route(app, process_metrics, measure)
    return app


def add_route(app, process_metrics, measure):
    """Add the page to an application.

    Args:
      app: An aiohttp.web.Application.
      process_metrics: A Metrics.
      measure: A function without arguments that sets the gauges of
        `process_metrics`.
    """

    async def show(request):
        measure()
        for name, total in link.sent_counts.items():
            process_metrics.set_count(metrics.Counter.SENT, total, name)
        body, content_type = process_metrics.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    app.router.add_get("/metrics", show)


async def serve(app, address, process_inbound, name="metrics"):
    """Listen for requests to an application.

    Args:
      app: An aiohttp.web.Application.
      address: An Address of the settings.
      process_inbound: The Inbound of the process.
      name: A string, the name of the listener.

    Returns:
      An HttpListener, with `port` to read and `close` to call.
    """
    options = inbound.ListenerOptions(is_internal=True)
    listener = process_inbound.new_listener(name, app, options)
    await listener.open(address.host, address.port)
    return listener

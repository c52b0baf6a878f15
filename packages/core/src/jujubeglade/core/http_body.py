"""Reads the body of an HTTP request, up to a bound.

The HTTP library keeps a body that it has read until the request is answered, which may
take long; this one is its caller's alone.
"""

from aiohttp import web


async def read(request, max_bytes):
    """Read the whole body.

    Args:
      request: An aiohttp.web.Request.
      max_bytes: An integer, the largest body to read.

    Returns:
      A bytearray.

    Raises:
      HTTPRequestEntityTooLarge: The body is longer.
    """
    if (request.content_length or 0) > max_bytes:
        raise web.HTTPRequestEntityTooLarge(max_bytes)
    body = bytearray()
    while part := await request.content.readany():
        body += part
        if len(body) > max_bytes:
            raise web.HTTPRequestEntityTooLarge(max_bytes)
    return body

"""Reads the body of an HTTP request, up to a bound.

The HTTP library keeps a body that it has read until the request is answered, which may
take long; this one is its caller's alone.
"""

from aiohttp import web

_PLAIN_ENCODING = "identity"


async def read(request, max_bytes):
    """Read the whole body.

    Args:
      request: An aiohttp.web.Request.
      max_bytes: An integer, the largest body to read.

    Returns:
      A bytearray.

    Raises:
      HTTPRequestEntityTooLarge: The body is longer.
      HTTPUnsupportedMediaType: The body is compressed.
      HTTPBadRequest: The body can't be read.
      ConnectionResetError: The connection has ended.
    """
    encoding = request.headers.get("Content-Encoding", _PLAIN_ENCODING)
    if encoding.lower() != _PLAIN_ENCODING:
        raise web.HTTPUnsupportedMediaType
    if (request.content_length or 0) > max_bytes:
        raise web.HTTPRequestEntityTooLarge(max_bytes)
    body = bytearray()
    while part := await _read_part(request.content, body):
        body += part
        if len(body) > max_bytes:
            raise web.HTTPRequestEntityTooLarge(max_bytes)
    return body


async def _read_part(content, body):
    """Read what has arrived; after an error, drop the body that was read before.

    The HTTP library keeps the error of a connection, and with its traceback all that
    these functions refer to, until a garbage collection. So another one is raised.
    """
    try:
        return await content.readany()
    except BaseException as error:
        body.clear()
        if not isinstance(error, Exception):
            raise
        error.__traceback__ = None
        is_closed = isinstance(error, ConnectionError)
    if is_closed:
        raise ConnectionResetError("the connection has ended")
    raise web.HTTPBadRequest(reason="the body can't be read")

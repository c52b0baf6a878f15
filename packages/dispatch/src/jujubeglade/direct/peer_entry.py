"""Peer entries: short links between two entries, to fetch the configuration.

The link is used for one request. Either side closes it, so that a peer that has gone
silent keeps none open.
"""

import asyncio
import zlib

import result

from jujubeglade.core import clock, link, message, problem
from jujubeglade.direct import contract, dialing, route

#: The role of an entry in the identity at the end of a link.
ROLE = "entry"
#: A running VM accepts a connection within this time.
_CONNECT_TIMEOUT_MS = 200
#: The time for a large configuration on a slow connection. Another entry is asked
#: after that.
_FETCH_TIMEOUT_MS = 2500
#: The side that answers closes the link after this time.
_MAX_LINK_MS = 5000
#: The fastest one; routes shrink to a fraction with it already.
_COMPRESSION_LEVEL = 1


class _Caller:
    """The handler of the side that asks; the answering side sends only replies."""

    __slots__ = ()

    def on_message(self, link, body):
        """Ignore a message."""

    async def on_request(self, link, body):
        """Refuse a request."""
        return _unexpected(body)


async def fetch_configuration(address, cluster_key, identity):
    """Request the configuration of another entry.

    Args:
      address: A string, HOST:PORT of the other entry's stream.
      cluster_key: Bytes.
      identity: An Identity, of this entry.

    Returns:
      A Result of a Configuration, or of a Problem.
    """
    dialed = await link.dial(
        dialing.parse_address(address),
        cluster_key,
        identity,
        _Caller(),
        _CONNECT_TIMEOUT_MS,
    )
    if dialed.is_err():
        return dialed
    peer = dialed.ok_value
    reading = asyncio.create_task(peer.run())
    try:
        answer = await peer.ask(contract.FetchConfiguration(), _FETCH_TIMEOUT_MS)
    finally:
        peer.abort()
        reading.cancel()
    return answer.and_then(_decompress)


def limit_link(link):
    """Close the link of an entry that has asked, at the latest after a while.

    Args:
      link: A Link.
    """
    asyncio.get_running_loop().call_later(clock.seconds(_MAX_LINK_MS), link.abort)


def answer(body, cluster_state):
    """Answer a request of another entry.

    Args:
      body: A message.
      cluster_state: A ClusterState, of the entry that was asked.

    Returns:
      A CompressedConfiguration, or a Problem.
    """
    if not isinstance(body, contract.FetchConfiguration):
        return _unexpected(body)
    encoded = message.encode(cluster_state.configuration)
    return contract.CompressedConfiguration(zlib.compress(encoded, _COMPRESSION_LEVEL))


def _decompress(body):
    """Decode the reply to a FetchConfiguration.

    Returns:
      A Result of a Configuration, or of a Problem.
    """
    if not isinstance(body, contract.CompressedConfiguration):
        return result.Err(_unexpected(body))
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(body.data, link.MAX_MESSAGE_BYTES)
    except zlib.error as error:
        return result.Err(message.malformed(error))
    if not unpacker.eof:
        return result.Err(message.malformed("it is cut off, or too large unpacked"))
    decoded = message.decode(data)
    if decoded.is_ok() and not isinstance(decoded.ok_value, route.Configuration):
        return result.Err(_unexpected(decoded.ok_value))
    return decoded


def _unexpected(body):
    return problem.Problem(
        kind=problem.Kind.FRAME,
        message=f"a link between entries got a {type(body).__name__}",
        remedy="run the same version of jujubeglade on both sides",
    )

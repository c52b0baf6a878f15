"""The handshake of a stream between two processes of this system.

Each side sends its identity and proves that it has the cluster key by a MAC over
the nonces of both sides. No other message is read before the handshake is done.

| step | from     | message   |
|------|----------|-----------|
| 1    | dialer   | `Hello`   |
| 2    | acceptor | `Welcome` |
| 3    | dialer   | `Proof`   |
"""

import hashlib
import hmac
import secrets

import result

from jujubeglade.core import message, problem

PROTOCOL_VERSION = 1
_NONCE_BYTES = 16
_MAX_HANDSHAKE_BYTES = 4096


@message.register(3)
class Identity:
    """The process at one end of a stream.

    Attributes:
      role: A string, `entry` or `agent`.
      name: A string, from the settings.
      incarnation: A string, the incarnation of the process.
      zone: A string, from the settings.
    """

    role: str
    name: str
    incarnation: str
    zone: str


@message.register(4)
class Hello:
    """The dialer's first message.

    Attributes:
      version: An integer, PROTOCOL_VERSION.
      identity: An Identity.
      nonce: Bytes.
    """

    version: int
    identity: Identity
    nonce: bytes


@message.register(5)
class Welcome:
    """The acceptor's answer.

    Attributes:
      version: An integer, PROTOCOL_VERSION.
      identity: An Identity.
      nonce: Bytes.
      mac: Bytes, the proof of the acceptor.
    """

    version: int
    identity: Identity
    nonce: bytes
    mac: bytes


@message.register(6)
class Proof:
    """The dialer's proof.

    Attributes:
      mac: Bytes.
    """

    mac: bytes


async def dial(reader, writer, cluster_key, identity, incarnation=None):
    """Perform the handshake as the dialer.

    Args:
      reader: An asyncio.StreamReader.
      writer: An asyncio.StreamWriter.
      cluster_key: Bytes.
      identity: An Identity, of this process.
      incarnation: A string, the only incarnation to accept; None for any. The peer
        never has a link to a dialer that does not accept it.

    Returns:
      A Result of the peer's Identity, or of a Problem: of kind CONFLICT if another
      incarnation runs there.
    """
    hello = Hello(PROTOCOL_VERSION, identity, secrets.token_bytes(_NONCE_BYTES))
    _write(writer, hello)
    welcome = await _read(reader, Welcome)
    if welcome.is_err():
        return welcome
    answer = welcome.ok_value
    expected = _mac(cluster_key, b"accept", hello, answer.identity, answer.nonce)
    if not hmac.compare_digest(expected, answer.mac):
        return result.Err(_unauthorized(answer.identity.name))
    if incarnation is not None and answer.identity.incarnation != incarnation:
        return result.Err(_other_incarnation(answer.identity))
    proof = _mac(cluster_key, b"dial", hello, answer.identity, answer.nonce)
    _write(writer, Proof(proof))
    return result.Ok(answer.identity)


async def accept(reader, writer, cluster_key, identity):
    """Perform the handshake as the acceptor.

    Args:
      reader: An asyncio.StreamReader.
      writer: An asyncio.StreamWriter.
      cluster_key: Bytes.
      identity: An Identity, of this process.

    Returns:
      A Result of the peer's Identity, or of a Problem.
    """
    received = await _read(reader, Hello)
    if received.is_err():
        return received
    hello = received.ok_value
    nonce = secrets.token_bytes(_NONCE_BYTES)
    mac = _mac(cluster_key, b"accept", hello, identity, nonce)
    _write(writer, Welcome(PROTOCOL_VERSION, identity, nonce, mac))
    proof = await _read(reader, Proof)
    if proof.is_err():
        return proof
    expected = _mac(cluster_key, b"dial", hello, identity, nonce)
    if not hmac.compare_digest(expected, proof.ok_value.mac):
        return result.Err(_unauthorized(hello.identity.name))
    return result.Ok(hello.identity)


def _mac(cluster_key, side, hello, acceptor, nonce):
    signed = message.encode(hello) + message.encode(acceptor) + nonce
    return hmac.new(cluster_key, side + signed, hashlib.sha256).digest()


def _write(writer, record):
    data = message.encode(record)
    writer.write(len(data).to_bytes(4, "big") + data)


async def _read(reader, expected):
    size = int.from_bytes(await reader.readexactly(4), "big")
    if size > _MAX_HANDSHAKE_BYTES:
        return result.Err(message.malformed("the handshake message is too long"))
    decoded = message.decode(await reader.readexactly(size))
    if decoded.is_err():
        return decoded
    if not isinstance(decoded.ok_value, expected):
        return result.Err(message.malformed("the handshake messages are out of order"))
    if getattr(decoded.ok_value, "version", PROTOCOL_VERSION) != PROTOCOL_VERSION:
        return result.Err(message.malformed("the protocol versions differ"))
    return decoded


def _other_incarnation(identity):
    return problem.Problem(
        kind=problem.Kind.CONFLICT,
        message=f"{identity.name} runs as incarnation {identity.incarnation} now",
        remedy="use the members' list for its present incarnation",
        place=identity.name,
    )


def _unauthorized(name):
    return problem.Problem(
        kind=problem.Kind.UNAUTHORIZED,
        message=f"{name} does not hold the key of this cluster",
        remedy="set the same cluster_key in the settings of both processes",
        place=name,
    )

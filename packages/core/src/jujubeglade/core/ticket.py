"""Tickets: submission ids that name the owners of a job.

An entry issues a ticket before the job is submitted. The ticket names the home of
the job and the candidates that may run its tasks, and carries an HMAC under the
cluster key, so that every process derives the same owner from the same id. The
reasons are in docs/DESIGN.md, "Ownership".

The text form has three parts, `KEY.GROUP.TAG`:

    19ae52c3f01-5be2a90c11.q83vEjRWeJ...kQ.0c4f1d2a9be87710

| part    | content                                                          |
|---------|------------------------------------------------------------------|
| `KEY`   | `issued_ms` and the nonce in hexadecimal; the short job key      |
| `GROUP` | the incarnations of the group, five bytes each, in URL base64    |
| `TAG`   | the first 16 hexadecimal digits of the HMAC-SHA-256 of the rest  |
"""

import base64
import binascii
import dataclasses
import hashlib
import hmac
import re
import secrets

import result

from jujubeglade.core import problem

INCARNATION_BYTES = 5
_NONCE_BYTES = 5
_TAG_DIGITS = 16
_MAX_TEXT_LENGTH = 4096
_MAX_GENERATIONS = 3
_KEY_PATTERN = re.compile(r"([0-9a-f]{1,16})-([0-9a-f]{10})")


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A submission id and the values that it carries.

    Attributes:
      issued_ms: An integer, the time of issue by the entry's wall clock.
      nonce: A string of hexadecimal digits.
      group: A tuple of incarnations; the first is the home, the rest are the
        candidates, and the first candidates are the successors of the home.
      text: A string, the whole id as the client sends it.
    """

    issued_ms: int
    nonce: str
    group: tuple[str, ...]
    text: str

    @property
    def key(self):
        """Return the short job key, used in logs, messages and audit records."""
        return f"{self.issued_ms:x}-{self.nonce}"

    @property
    def candidates(self):
        """Return the incarnations of the agents that may run the tasks."""
        return self.group[1:]

    @property
    def owners(self):
        """Return the owners of the job; the index is the generation."""
        return self.group[:_MAX_GENERATIONS]


def new_incarnation():
    """Generate a random id for an incarnation of a process.

    Returns:
      A string of ten hexadecimal digits.
    """
    return secrets.token_hex(INCARNATION_BYTES)


def issue(cluster_key, issued_ms, group):
    """Issue a new ticket.

    Args:
      cluster_key: Bytes, shared by all processes of the cluster.
      issued_ms: An integer, the current time by the wall clock.
      group: A sequence of incarnations, the home first.

    Returns:
      A Ticket.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    packed = bytes.fromhex("".join(group))
    encoded = base64.urlsafe_b64encode(packed).decode("ascii").rstrip("=")
    body = f"{issued_ms:x}-{nonce}.{encoded}"
    text = f"{body}.{_tag(cluster_key, body)}"
    return Ticket(issued_ms, nonce, tuple(group), text)


def parse(cluster_key, text):
    """Parse a ticket and verify its tag.

    Args:
      cluster_key: Bytes, shared by all processes of the cluster.
      text: A string that a client sent.

    Returns:
      A Result of a Ticket, or of a Problem of kind BAD_TICKET.
    """
    if not isinstance(text, str) or len(text) > _MAX_TEXT_LENGTH:
        return _bad("the id is not a string of a ticket's length")
    parts = text.split(".")
    if len(parts) != 3 or not text.isascii():
        return _bad("the id does not have a ticket's three parts")
    body = f"{parts[0]}.{parts[1]}"
    if not hmac.compare_digest(_tag(cluster_key, body), parts[2]):
        return _bad("the id was not issued by an entry of this cluster")
    match = _KEY_PATTERN.fullmatch(parts[0])
    group = _parse_group(parts[1])
    if match is None or group is None:
        return _bad("the id is malformed")
    issued_ms = int(match.group(1), 16)
    return result.Ok(Ticket(issued_ms, match.group(2), group, text))


def _parse_group(encoded):
    try:
        padded = encoded + "=" * (-len(encoded) % 4)
        packed = base64.urlsafe_b64decode(padded)
    except (binascii.Error, ValueError):
        return None
    if not packed or len(packed) % INCARNATION_BYTES:
        return None
    digits = packed.hex()
    width = 2 * INCARNATION_BYTES
    return tuple(digits[i : i + width] for i in range(0, len(digits), width))


def _tag(cluster_key, body):
    mac = hmac.new(cluster_key, body.encode("ascii"), hashlib.sha256)
    return mac.hexdigest()[:_TAG_DIGITS]


def _bad(message):
    return result.Err(
        problem.Problem(
            kind=problem.Kind.BAD_TICKET,
            message=message,
            remedy="take a ticket with POST /v1/tickets and submit with it",
            place="id",
            outcome=problem.Outcome.NOT_RUN,
        )
    )

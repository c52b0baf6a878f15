"""The JSON forms of the stand-in store's answers.

Written from the published form of the gateway: base64 for bytes, decimal strings for
64-bit integers, zero fields left out.
"""

import base64


def decode(text):
    """Read bytes from base64."""
    return base64.b64decode(text or "")


def encode(raw):
    """Render bytes in base64."""
    return base64.b64encode(raw).decode()


def header(memory):
    """Render the header that every answer carries."""
    return {"revision": str(memory.revision)}


def pair_fields(pair):
    """Render a key-value pair.

    Args:
      pair: A Pair.

    Returns:
      A dict.
    """
    fields = {"key": encode(pair.key), "mod_revision": str(pair.mod_revision)}
    if pair.value:
        fields["value"] = encode(pair.value)
    if pair.lease_id:
        fields["lease"] = str(pair.lease_id)
    return fields


def event_message(memory, pairs):
    """Render the notices of a watch as one message."""
    events = []
    for pair in pairs:
        kind = {"type": "DELETE"} if pair.deleted else {}
        events.append(kind | {"kv": pair_fields(pair)})
    return {"result": {"header": header(memory), "events": events}}


def holds(memory, compare):
    """Evaluate the comparison of a transaction.

    Args:
      memory: A Memory.
      compare: A dict; only equality of the mod revision is understood.

    Returns:
      A boolean.

    Raises:
      ValueError: If the comparison is of another kind.
    """
    if compare.get("target") != "MOD" or compare.get("result") != "EQUAL":
        raise ValueError("only MOD EQUAL is understood")
    expected = int(compare.get("mod_revision", 0))
    return memory.mod_revision(decode(compare["key"])) == expected

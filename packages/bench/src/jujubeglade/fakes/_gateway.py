"""The JSON encoding of the stand-in store's answers.

It follows the published format of etcd's JSON gateway: bytes are base64, 64-bit
integers are decimal strings, and fields with the value zero are omitted.
"""

import base64


def decode(text):
    """Decode base64 text to bytes."""
    return base64.b64decode(text or "")


def encode(raw):
    """Encode bytes as base64 text."""
    return base64.b64encode(raw).decode()


def header(memory):
    """Build the header of every answer."""
    return {"revision": str(memory.revision)}


def pair_fields(pair):
    """Build the fields of a key-value pair.

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
    """Build one watch message with some events.

    Args:
      memory: A Memory.
      pairs: A list of Pair records, the events.

    Returns:
      A dict.
    """
    events = []
    for pair in pairs:
        kind = {"type": "DELETE"} if pair.deleted else {}
        events.append(kind | {"kv": pair_fields(pair)})
    return {"result": {"header": header(memory), "events": events}}


def holds(memory, compare):
    """Evaluate the comparison of a transaction.

    Args:
      memory: A Memory.
      compare: A dict; only equality of the mod revision is supported.

    Returns:
      A boolean.

    Raises:
      ValueError: If the comparison is of another kind.
    """
    if compare.get("target") != "MOD" or compare.get("result") != "EQUAL":
        raise ValueError(
            "only comparisons with target MOD and result EQUAL are supported"
        )
    expected = int(compare.get("mod_revision", 0))
    return memory.mod_revision(decode(compare["key"])) == expected

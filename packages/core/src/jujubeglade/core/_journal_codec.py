"""Batches of records as bytes.

Records of one process and incarnation that follow each other form a *run*,
which names the process and the first previous hash once:

    [process, incarnation, previous_hash,
     [[sequence, wall_ms, kind, subject, detail, hash], ...]]
"""

import msgpack
from result import Err, Ok

from jujubeglade.core import _journal_record, problem


def pack(records):
    """Encode records, keeping their order.

    Args:
      records: An iterable of Records.

    Returns:
      Bytes.
    """
    runs = []
    last_hash = None
    for record in records:
        head = [record.process, record.incarnation]
        if not runs or runs[-1][:2] != head or last_hash != record.previous_hash:
            runs.append([*head, record.previous_hash, []])
        runs[-1][3].append(_row(record))
        last_hash = record.hash
    return msgpack.packb(runs)


def unpack(data):
    """Decode records.

    Args:
      data: Bytes that `pack` made.

    Returns:
      Ok with a tuple of Records, or Err with a Problem.
    """
    try:
        return Ok(tuple(_records(msgpack.unpackb(data))))
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        return Err(
            problem.Problem(
                problem.Kind.FRAME,
                f"the records can't be read: {error}",
                "run the same release of jujubeglade on both sides",
            )
        )


def _row(record):
    """List the fields that differ from record to record."""
    return [
        record.sequence,
        record.wall_ms,
        str(record.kind),
        record.subject,
        record.detail,
        record.hash,
    ]


def _records(runs):
    """Yield the records of decoded runs."""
    for process, incarnation, previous_hash, rows in runs:
        for sequence, wall_ms, kind, subject, detail, digest in rows:
            yield _journal_record.Record(
                process,
                incarnation,
                sequence,
                wall_ms,
                _journal_record.Kind(kind),
                subject,
                detail,
                previous_hash,
                digest,
            )
            previous_hash = digest

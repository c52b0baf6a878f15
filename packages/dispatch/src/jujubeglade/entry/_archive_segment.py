"""Segments: groups of audit records, each stored as one value of the store.

A segment holds records of one time bucket, from any process. Its key contains the
start of the bucket, so that a reader who knows when a job was issued reads only a few
segments:

    jujubeglade/records/001767268800000/entry-1.ee.00000007
                        bucket start    entry, incarnation, number

The value is the packed records, compressed by zlib.
"""

import zlib

from result import Err, Ok

from jujubeglade.core import journal, problem

PREFIX = "jujubeglade/records/"
BUCKET_MS = 10_000
# Records compress to about a quarter of their size. A segment that compresses less, to
# more than MAX_VALUE_BYTES, is split.
MAX_PACKED_BYTES = 2_500_000
MAX_VALUE_BYTES = 950_000
_MAX_UNPACKED_BYTES = 4 * MAX_PACKED_BYTES
_COMPRESSION_LEVEL = 6


def bucket_of(wall_ms):
    """Return the bucket of a time.

    Args:
      wall_ms: An integer, milliseconds since 1970.

    Returns:
      An integer, the start of the bucket in the same unit.
    """
    return wall_ms - wall_ms % BUCKET_MS


def bucket_prefix(bucket_ms):
    """Return the prefix of the keys of a bucket.

    Args:
      bucket_ms: An integer, the start of the bucket.

    Returns:
      A string.
    """
    return f"{PREFIX}{bucket_ms:015d}/"


def key_of(bucket_ms, writer, number):
    """Return the key of a segment.

    Args:
      bucket_ms: An integer, the start of the bucket.
      writer: A string, the name of the entry and its incarnation.
      number: An integer, which increases with each segment of the writer.

    Returns:
      A string.
    """
    return f"{bucket_prefix(bucket_ms)}{writer}.{number:08d}"


def encode(records):
    """Encode the records of a segment.

    Args:
      records: An iterable of Records.

    Returns:
      Bytes.
    """
    return zlib.compress(journal.pack(records), _COMPRESSION_LEVEL)


def decode(key, value):
    """Decode a segment.

    Args:
      key: A string, the key of the segment, named in a problem.
      value: Bytes.

    Returns:
      Ok with a tuple of Records, or Err with a Problem.
    """
    try:
        packed = zlib.decompressobj().decompress(value, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        return Err(
            problem.Problem(
                problem.Kind.STORE,
                f"the segment can't be read: {error}",
                "restore the key from a backup of the store; its records are missing",
                place=key,
            )
        )
    match journal.unpack(packed):
        case Ok(records):
            return Ok(records)
        case Err(cause):
            message = f"the segment can't be read: {cause.message}"
            return Err(problem.Problem(cause.kind, message, cause.remedy, place=key))

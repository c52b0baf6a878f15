"""The time in an id: the ids of jobs, commands and refusals begin with it.

19ae52c3f01-5be2a90c11      milliseconds since 1970 in hexadecimal, a dash, ...
"""

import re

_ID = re.compile(r"([0-9a-f]{10,12})-")


def issued_ms(text):
    """Parse the time at the start of an id.

    Args:
      text: A string.

    Returns:
      An integer, milliseconds since 1970, or None if the id doesn't begin with a time.
    """
    match = _ID.match(text)
    return int(match.group(1), 16) if match else None

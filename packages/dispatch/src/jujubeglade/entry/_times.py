"""The time in an id: job keys, commands and refusals begin with it.

19ae52c3f01-5be2a90c11      milliseconds since 1970 in hexadecimal, a dash, ...
"""

import re

_ID = re.compile(r"([0-9a-f]{10,12})-")


def issued_ms(text):
    """Read the time out of an id.

    Args:
      text: A string.

    Returns:
      An integer, milliseconds since 1970, or None when the id holds no time.
    """
    found = _ID.match(text)
    return int(found.group(1), 16) if found else None

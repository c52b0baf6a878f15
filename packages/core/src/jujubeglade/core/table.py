"""Aligned tables for a terminal.

id  state     reason
k3  complete
k4  failed    deadline
"""

_COLUMN_GAP = "  "
_CONTROL_TO_SPACE = {ord(character): " " for character in "\r\n\t\x1b"}


def render(head, rows):
    """Render a table.

    Args:
      head: A sequence of strings.
      rows: A sequence of sequences, as long as the head.

    Returns:
      A list of strings, the lines.
    """
    cells = [
        [str(cell).translate(_CONTROL_TO_SPACE) for cell in row]
        for row in (head, *rows)
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [_line(row, widths) for row in cells]


def _line(row, widths):
    padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return _COLUMN_GAP.join(padded).rstrip()

"""Cells: the groups of agents from which tickets name their owners.

Agents are divided into cells by rendezvous hashing, so that an agent places tasks on a
bounded number of others, however many agents there are. Within a cell the same few
agents are chosen as homes: a home that places most tasks of its cell has a better view
of the load than many homes with a few tasks each, and needs no extra messages for it.

Entries need not agree on the cells. If they see different members they issue different
tickets. This is harmless, since a ticket fixes the owners of its job at its issue.
"""

import hashlib

HOMES_PER_CELL = 1


def cells(members, size):
    """Divide members into cells.

    Args:
      members: A list of Members.
      size: An integer, the approximate number of members in a cell.

    Returns:
      A list of cells, which are lists of Members; all entries rank the members of a
      cell by the same hash.
    """
    count = max(1, -(-len(members) // size))
    members_by_cell = [[] for _ in range(count)]
    for member in sorted(members, key=_rank):
        members_by_cell[_cell_index(member, count)].append(member)
    return [members for members in members_by_cell if members]


def group(members, home_index):
    """Order a cell for a ticket.

    Args:
      members: A list of Members, ranked.
      home_index: An integer, the index of the home in that list.

    Returns:
      A list of Members: the home, then the others, taken from the zones in turn. The
      zone of the home is last, so that the first successors are in other zones if
      there are any.
    """
    home = members[home_index]
    by_zone = {}
    for member in members:
        if member is not home:
            by_zone.setdefault(member.zone, []).append(member)
    zones = sorted(by_zone, key=lambda zone: (zone == home.zone, zone))
    ordered = [home]
    while any(by_zone.values()):
        for zone in zones:
            if by_zone[zone]:
                ordered.append(by_zone[zone].pop(0))
    return ordered


def _rank(member):
    return hashlib.sha256(member.incarnation.encode("ascii")).digest()


def _cell_index(member, count):
    """Choose the cell with the highest hash of member and cell."""
    if count == 1:
        return 0
    return max(range(count), key=lambda cell: _weight(member, cell))


def _weight(member, cell):
    text = f"{member.incarnation}/{cell}"
    return hashlib.sha256(text.encode("ascii")).digest()

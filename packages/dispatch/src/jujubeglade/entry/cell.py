"""Cells: which agents a ticket names.

Agents are divided into cells by rendezvous hashing, so that an agent places
tasks on a bounded number of others however large the fleet is. Within a cell
the same few agents are chosen as homes: a home that sees most of its cell's load
places better than many that see little of it, and needs no messages to do so.

All of this is advice. Entries that see different members issue different tickets
and nothing breaks, since a ticket once issued fixes the owners.
"""

import hashlib

HOMES_PER_CELL = 1


def cells(members, size):
    """Divide members into cells.

    Args:
      members: A list of Members.
      size: An integer, about how many members a cell has.

    Returns:
      A list of lists of Members; each is ranked by the same hash everywhere.
    """
    count = max(1, -(-len(members) // size))
    divided = [[] for _ in range(count)]
    for each in sorted(members, key=_rank):
        divided[_place(each, count)].append(each)
    return [members for members in divided if members]


def group(members, chosen):
    """Order a cell for a ticket.

    Args:
      members: A list of Members, ranked.
      chosen: An integer, the place of the home in that list.

    Returns:
      A list of Members: the home, then the others by turns of zones, so that the
      successors stand in other zones than the home where there are any.
    """
    home = members[chosen]
    by_zone = {}
    for each in members:
        if each is not home:
            by_zone.setdefault(each.zone, []).append(each)
    zones = sorted(by_zone, key=lambda zone: (zone == home.zone, zone))
    ordered = [home]
    while any(by_zone.values()):
        for zone in zones:
            if by_zone[zone]:
                ordered.append(by_zone[zone].pop(0))
    return ordered


def _rank(member):
    return hashlib.sha256(member.incarnation.encode("ascii")).digest()


def _place(member, count):
    """Choose the cell with the highest hash of member and cell."""
    if count == 1:
        return 0
    return max(range(count), key=lambda cell: _weight(member, cell))


def _weight(member, cell):
    text = f"{member.incarnation}/{cell}"
    return hashlib.sha256(text.encode("ascii")).digest()

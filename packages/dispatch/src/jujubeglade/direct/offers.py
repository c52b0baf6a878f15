"""Offers: which owner is told next of free room that others have left.

Under overload, an owner that is offered room may no longer need it, as its jobs have
found room elsewhere or have been refused. Without a further offer the room stays idle
until the next announcement, although other owners wait. This answers the load at which
12 entries with 1.5 times the usual work answered 0.84 to 0.89 of its value in time, and
one entry 0.98.

The decision is made by the agent for its own worker; see docs/design/offers.md.
"""

import dataclasses
import math

from jujubeglade.direct import policy


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What an agent knows of an owner's need of room.

    Attributes:
      owner: A string, the owner's incarnation.
      needed_by_ms: A number, by when it needs room, on the monotonic clock; infinite if
        it needs none.
      was_offered: A boolean, whether the present room was offered to it.
    """

    owner: str
    needed_by_ms: float
    was_offered: bool


@policy.choice("offers", "soonest_need")
def soonest_need(needs):
    """Choose the owner that needs room soonest and wasn't offered the present room.

    Args:
      needs: An iterable of Needs of the owners that can be reached.

    Returns:
      A Need, or None for no offer.
    """
    open_needs = [
        need for need in needs if not need.was_offered and need.needed_by_ms < math.inf
    ]
    return min(open_needs, key=lambda need: need.needed_by_ms, default=None)


@policy.choice("offers", "none")
def none(needs):
    """Offer left room to no owner, so that it is announced later: the baseline."""

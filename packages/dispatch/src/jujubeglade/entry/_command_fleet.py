"""Questions that go from an entry to all agents it hears from."""

import asyncio
import dataclasses

import result

_ANSWER_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """What the agents answered.

    Attributes:
      bodies: A list of messages.
      refused: A list of Problems of agents that answered by one.
      silent: A sorted list of names, of agents that did not answer.
    """

    bodies: list
    refused: list
    silent: list


async def ask(membership, body):
    """Put a question to all agents at once.

    Args:
      membership: A Membership.
      body: A message.

    Returns:
      An Answers.
    """
    present = membership.live_agents()
    asked = await asyncio.gather(
        *(presence.link.ask(body, _ANSWER_MS) for presence in present)
    )
    answers = Answers([], [], [])
    for presence, answer in zip(present, asked, strict=True):
        match answer:
            case result.Ok(found):
                answers.bodies.append(found)
            case result.Err(trouble) if trouble.place == presence.member.name:
                answers.silent.append(trouble.place)
            case result.Err(trouble):
                answers.refused.append(trouble)
    answers.silent.sort()
    return answers

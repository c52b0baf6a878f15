"""Requests from an entry to all agents that are connected to it."""

import asyncio
import dataclasses

import result

_ANSWER_TIMEOUT_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """The answers of the agents to one request.

    Attributes:
      bodies: A list of messages.
      refused: A list of Problems, from the agents that answered with one.
      unanswered: A sorted list of the names of the agents that did not answer.
    """

    bodies: list
    refused: list
    unanswered: list


async def ask(membership, body):
    """Send a request to all agents at once.

    Args:
      membership: A Membership.
      body: A message.

    Returns:
      An Answers.
    """
    agents = membership.live_agents()
    results = await asyncio.gather(
        *(agent.link.ask(body, _ANSWER_TIMEOUT_MS) for agent in agents)
    )
    answers = Answers([], [], [])
    for agent, answer in zip(agents, results, strict=True):
        match answer:
            case result.Ok(answer_body):
                answers.bodies.append(answer_body)
            # A link that got no answer names its peer as the place of the problem.
            case result.Err(cause) if cause.place == agent.member.name:
                answers.unanswered.append(cause.place)
            case result.Err(cause):
                answers.refused.append(cause)
    answers.unanswered.sort()
    return answers

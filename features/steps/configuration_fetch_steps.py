"""Steps for an entry that gets the configuration from others, in virtual time."""

import asyncio
import random

import result
from behave import given, then, when

from jujubeglade.core import problem
from jujubeglade.direct import (
    cluster_state,
    configuration_fetch,
    contract,
    route,
    route_table,
)
from jujubeglade.fakes import virtual

_OWN_ADDRESS = "10.0.0.1:7720"
_PEER_ADDRESSES = ("10.0.0.2:7720", "10.0.0.3:7720")
_UNREACHABLE = problem.Problem(problem.Kind.HOME_LOST, "unreachable", "start it")


class _Peers:
    """The other entries: what they have, and how often they were asked."""

    def __init__(self, revision):
        self.revision = revision
        self.asked = []

    async def fetch(self, address):
        self.asked.append(address)
        if self.revision is None:
            return result.Err(_UNREACHABLE)
        return result.Ok(_configuration(self.revision))


@given("an entry in virtual time whose peers have configuration {revision:d}")
def step_peers(context, revision):
    _open_fetch(context, revision)
    _list_peers(context)


@given("an entry in virtual time whose peers are unreachable")
def step_unreachable(context):
    _open_fetch(context, None)
    _list_peers(context)


@given("an entry in virtual time without peers")
def step_alone(context):
    _open_fetch(context, None)


@given("a table of {count:d} routes")
def step_configuration(context, count):
    routes = []
    for index in range(count // 2):
        routes.append(_route(f"a-{index}", f"host-{index}", "/a/"))
        routes.append(_route(f"ab-{index}", f"host-{index}", "/a/b/"))
    configuration = route.Configuration(1, 1, tuple(routes), (), 0)
    context.route_table = route_table.new_table(configuration)


@when("it hears of configuration {revision:d}")
def step_hears(context, revision):
    context.fetch.note_revision(revision)


@when("the store delivers configuration {revision:d} after {ms:d} ms")
def step_delivers(context, revision, ms):
    context.runner.run(asyncio.sleep(ms / 1000))
    context.state.offer(_configuration(revision), "store")


@when("the peers receive configuration {revision:d}")
def step_receive(context, revision):
    context.peers.revision = revision


@when("the store lists peers that have configuration {revision:d}")
def step_list(context, revision):
    context.peers.revision = revision
    _list_peers(context)


@when("{ms:d} ms pass in virtual time")
def step_pass(context, ms):
    context.runner.run(asyncio.sleep(ms / 1000))


@when("a table of routes finds {host} {path}")
def step_search(context, host, path):
    context.match = context.route_table.find(host, path)


@then("it has asked {count:d} times")
def step_asked(context, count):
    assert len(context.peers.asked) == count, context.peers.asked


@then("it has asked {least:d} to {most:d} times")
def step_asked_between(context, least, most):
    assert least <= len(context.peers.asked) <= most, len(context.peers.asked)
    assert _OWN_ADDRESS not in context.peers.asked


@then("it has configuration {revision:d}")
def step_has(context, revision):
    assert context.state.configuration.revision == revision


@then("it finds the route {name} with the rest {rest}")
def step_route(context, name, rest):
    found = "none" if context.match is None else context.match.route.name
    assert found == name, context.match
    if context.match is not None:
        assert (context.match.rest or "nothing") == rest, context.match


def _open_fetch(context, revision):
    context.runner = asyncio.Runner(loop_factory=virtual.VirtualLoop)
    context.closers = [context.runner.close]
    context.peers = _Peers(revision)
    context.state = cluster_state.new_cluster_state()
    context.runner.run(_start(context))


async def _start(context):
    context.fetch = configuration_fetch.ConfigurationFetch(
        context.state, _OWN_ADDRESS, context.peers.fetch, random.Random(1)
    )
    context.task = asyncio.create_task(context.fetch.run())


def _list_peers(context):
    addresses = (_OWN_ADDRESS, *_PEER_ADDRESSES)
    context.state.offer(contract.Members(1, addresses), "store")


def _configuration(revision):
    return route.Configuration(revision, revision, (), (), 0)


def _route(name, host, prefix):
    return route.Route(name, host, prefix, "parts", 0, 3, 1.6, 60.0, False)

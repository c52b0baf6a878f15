"""Steps for the codec of messages between builds."""

import msgpack
from behave import given, then, when

from jujubeglade.core import message

#: Codes that no message of the product uses.
_OLDER_CODE = 120
_NEWER_CODE = 121
_DEFAULT = 7
_HALT_CODE = 88


@message.register(_OLDER_CODE)
class _Older:
    """What build 1 knows."""

    name: str


@message.register(_NEWER_CODE)
class _Newer:
    """The same message in build 2."""

    name: str
    extra: int = _DEFAULT


def _as(code, data):
    """Return an encoded message as if it had been sent under another code."""
    extension = msgpack.unpackb(data)
    return msgpack.packb(msgpack.ExtType(code, extension.data))


@given("a message type of build 2 with a trailing field")
def step_types(context):
    context.sent = None


@when("build 2 sends it with the default")
def step_send_default(context):
    context.sent = message.encode(_Newer("a"))
    assert context.sent == _as(_NEWER_CODE, message.encode(_Older("a"))), context.sent


@when("build 2 sends it with a value of its own")
def step_send_value(context):
    context.sent = message.encode(_Newer("a", 8))


@when("build 1 sends it")
def step_send_older(context):
    context.sent = message.encode(_Older("a"))


@when("a Halt without its run arrives")
def step_send_short(context):
    fields = msgpack.packb(["task"])
    context.sent = msgpack.packb(msgpack.ExtType(_HALT_CODE, fields))


@then("build 1, which does not know the field, reads it")
def step_read_older(context):
    read = message.decode(_as(_OLDER_CODE, context.sent)).unwrap()
    assert read == _Older("a"), read


@then("build 2 reads the default")
def step_read_newer(context):
    read = message.decode(_as(_NEWER_CODE, context.sent)).unwrap()
    assert read == _Newer("a", _DEFAULT), read


@then("it is refused with a remedy")
def step_refused(context):
    cause = message.decode(context.sent).unwrap_err()
    assert cause.remedy, cause

"""The rules that a setting's value must meet.

Each field of a settings record has one `Rule` in its metadata. The check of a file
and the reference page both use this rule, so that they agree:

    window_ms: int = integer(1000, 600000, "How long a ticket is valid.", 120000)
"""

import dataclasses

_RULE = "rule"


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """The constraints of a value.

    Attributes:
      kind: A string, the name of the reader in `_settings_check`.
      doc: A string, the sentence for the reference page.
      low: An integer, the lowest value or the least length.
      high: An integer, the highest value or the greatest length.
      choices: A tuple of strings, the only values allowed; empty for any.
      record: A dataclass, the type of a nested record; None for other kinds.
      live: A boolean, True when operators may change the value by a command.
    """

    kind: str
    doc: str
    low: int = 0
    high: int = 0
    choices: tuple = ()
    record: type | None = None
    live: bool = False


def rule_of(field):
    """Return the rule of a field.

    Args:
      field: A dataclasses.Field made by a function of this module.

    Returns:
      A Rule.
    """
    return field.metadata[_RULE]


def is_required(field):
    """Tell whether a file must have the field.

    Args:
      field: A dataclasses.Field.

    Returns:
      A boolean.
    """
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _field(rule, **options):
    return dataclasses.field(metadata={_RULE: rule}, **options)


def _options(default):
    return {} if default is dataclasses.MISSING else {"default": default}


def integer(low, high, doc, default, *, live=False):
    """Declare an integer within bounds.

    Args:
      low: An integer, the lowest value allowed.
      high: An integer, the highest value allowed.
      doc: A string, the sentence for the reference page.
      default: An integer.
      live: A boolean, True when operators may change it by a command.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("integer", doc, low, high, live=live), default=default)


def number(low, high, doc, default):
    """Declare a number within bounds, whole or not.

    Args:
      low: A number, the lowest value allowed.
      high: A number, the highest value allowed.
      doc: A string, the sentence for the reference page.
      default: A number.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("number", doc, low, high), default=default)


def name(doc):
    """Declare a required name of letters, digits, dots and dashes.

    Args:
      doc: A string, the sentence for the reference page.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("name", doc, 1, 63))


def choice(choices, doc, default=dataclasses.MISSING):
    """Declare one of several words.

    Args:
      choices: A tuple of strings.
      doc: A string, the sentence for the reference page.
      default: A string; without it the field is required.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("choice", doc, choices=choices), **_options(default))


def secret(low, doc, default=dataclasses.MISSING):
    """Declare a string that must not appear in messages and log lines.

    Args:
      low: An integer, the least number of characters.
      doc: A string, the sentence for the reference page.
      default: A string; without it the field is required.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("secret", doc, low, 512), repr=False, **_options(default))


def secrets(low, doc):
    """Declare a required mapping of names to secrets.

    Args:
      low: An integer, the least number of characters of a secret.
      doc: A string, the sentence for the reference page.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("secrets", doc, low, 512), repr=False)


def listener(doc, default=dataclasses.MISSING):
    """Declare an address to listen on; port 0 selects any free port.

    Args:
      doc: A string, the sentence for the reference page.
      default: None for an optional field.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("listener", doc, 0, 65535), **_options(default))


def loopback(doc):
    """Declare a required address on the loopback network.

    Args:
      doc: A string, the sentence for the reference page.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("loopback", doc, 0, 65535))


def url(doc):
    """Declare a required base URL with an IP number and a port.

    Args:
      doc: A string, the sentence for the reference page.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("url", doc, 1, 65535))


def peers(doc):
    """Declare a required mapping of names to addresses.

    Args:
      doc: A string, the sentence for the reference page.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("peers", doc, 1, 65535))


def hosts(doc):
    """Declare a list of hosts, which may be empty.

    Args:
      doc: A string, the sentence for the reference page.

    Returns:
      A dataclasses.Field.
    """
    return _field(Rule("hosts", doc, 1, 63), default=())


def nested(record, doc, *, required):
    """Declare a nested record.

    Args:
      record: A dataclass whose fields have rules.
      doc: A string, the sentence for the reference page.
      required: A boolean; if False, an absent record has the default of each field.

    Returns:
      A dataclasses.Field.
    """
    options = {} if required else {"default_factory": record}
    return _field(Rule("record", doc, record=record), **options)

"""Bearer tokens of clients and operators, compared in constant time."""

import hmac

_PREFIX = "Bearer "


class Tokens:
    """The tokens of one kind of user."""

    __slots__ = ("_tokens",)

    def __init__(self, tokens):
        """Hold tokens.

        Args:
          tokens: A mapping from names to tokens.
        """
        self._tokens = {name: token.encode("utf-8") for name, token in tokens.items()}

    def name_of(self, request):
        """Find whose token a request carries.

        Args:
          request: An aiohttp.web.Request.

        Returns:
          A string, the name, or None.
        """
        header = request.headers.get("Authorization", "")
        if not header.startswith(_PREFIX):
            return None
        given = header[len(_PREFIX) :].encode("utf-8", "surrogateescape")
        found = None
        for name, token in self._tokens.items():
            # Every token is compared, so that the time tells nothing.
            if hmac.compare_digest(token, given):
                found = name
        return found

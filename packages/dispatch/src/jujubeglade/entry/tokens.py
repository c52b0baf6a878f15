"""Bearer tokens of clients and operators, compared in constant time."""

import hmac

_PREFIX = "Bearer "


class Tokens:
    """The tokens of all clients, or of all operators."""

    __slots__ = ("_tokens",)

    def __init__(self, tokens):
        """Encode the tokens for comparison.

        Args:
          tokens: A mapping from names to tokens.
        """
        self._tokens = {name: token.encode("utf-8") for name, token in tokens.items()}

    def name_of(self, request):
        """Find the name that belongs to the token of a request.

        Args:
          request: An aiohttp.web.Request.

        Returns:
          A string, the name, or None if the request has no valid token.
        """
        header = request.headers.get("Authorization", "")
        if not header.startswith(_PREFIX):
            return None
        request_token = header[len(_PREFIX) :].encode("utf-8", "surrogateescape")
        matching_name = None
        for name, token in self._tokens.items():
            # All tokens are compared, so that the response time reveals nothing.
            if hmac.compare_digest(token, request_token):
                matching_name = name
        return matching_name

"""The highest configuration that this process knows.

Each process has one `LatestDocument`. Every source of documents (a read of the store,
a watch, a peer) offers them here; only a document of a higher revision is taken, and
the subscribers are notified of it.
"""

from jujubeglade.core import configuration


class LatestDocument:
    """The highest document seen, and who wants to hear of a higher one."""

    __slots__ = ("_callbacks", "_document")

    def __init__(self):
        """Start with the empty document of revision 0."""
        self._document = configuration.Document()
        self._callbacks = []

    @property
    def document(self):
        """The highest document, a Document."""
        return self._document

    @property
    def revision(self):
        """The revision of the highest document, an integer."""
        return self._document.revision

    def subscribe(self, callback):
        """Ask to be told of each new document.

        Args:
          callback: A function of one Document.
        """
        self._callbacks.append(callback)

    def offer(self, document):
        """Take a document if it is higher than the one held.

        Args:
          document: A Document.

        Returns:
          A boolean, whether it was taken.
        """
        if document.revision <= self._document.revision:
            return False
        self._document = document
        for callback in self._callbacks:
            callback(document)
        return True

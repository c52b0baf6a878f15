"""The configuration document of the highest revision received by this process.

Each process has one `LatestDocument`. Every source of documents (a read of the store,
a watch, a peer) offers them here. A document replaces the current one only if its
revision is higher; the subscribers are then notified.
"""

from jujubeglade.core import configuration


class LatestDocument:
    """The document of the highest revision so far, and the subscribers to changes."""

    __slots__ = ("_callbacks", "_document")

    def __init__(self):
        """Create it with the empty document of revision 0."""
        self._document = configuration.Document()
        self._callbacks = []

    @property
    def document(self):
        """The Document of the highest revision."""
        return self._document

    @property
    def revision(self):
        """The highest revision, an integer."""
        return self._document.revision

    def subscribe(self, callback):
        """Register a callback for each new document.

        Args:
          callback: A function of one Document.
        """
        self._callbacks.append(callback)

    def offer(self, document):
        """Replace the current document if the revision of the given one is higher.

        Args:
          document: A Document.

        Returns:
          A boolean, whether the current document was replaced.
        """
        if document.revision <= self._document.revision:
            return False
        self._document = document
        for callback in self._callbacks:
            callback(document)
        return True

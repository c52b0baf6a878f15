"""Records, streams, store and settings shared by every process."""

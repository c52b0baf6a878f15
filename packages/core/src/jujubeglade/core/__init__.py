"""Messages, links, store, journal and settings shared by all processes."""

"""The jujubeglade command line."""

"""The behaviour of jujubeglade, as behave features."""

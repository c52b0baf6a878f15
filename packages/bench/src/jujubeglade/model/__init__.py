"""Specifications of the protocols for a model checker, and the check of traces."""

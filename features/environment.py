"""Hooks that behave runs around scenarios."""


def after_scenario(context, scenario):
    """Close whatever a scenario registered in ``context.closers``."""
    for close in reversed(getattr(context, "closers", [])):
        close()

"""Hooks that behave runs around scenarios."""


def after_scenario(context, scenario):
    """Call the functions that a scenario registered in ``context.closers``."""
    for close in reversed(getattr(context, "closers", [])):
        close()


def after_feature(context, feature):
    """Call the functions that the scenarios registered in ``feature.closers``."""
    for close in reversed(getattr(feature, "closers", [])):
        close()

"""Hooks that behave runs around scenarios."""


def after_scenario(context, scenario):
    """Close whatever a scenario registered in ``context.closers``."""
    for close in reversed(getattr(context, "closers", [])):
        close()


def after_feature(context, feature):
    """Close what the scenarios of a feature shared, in ``feature.closers``."""
    for close in reversed(getattr(feature, "closers", [])):
        close()

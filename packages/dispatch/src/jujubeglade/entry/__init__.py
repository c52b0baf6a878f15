"""The entry role: callers, operators, permits."""

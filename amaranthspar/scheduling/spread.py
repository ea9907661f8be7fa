"""Default of the cost of running a task away from the rack of its data."""

DEFAULT_FACTOR = 1.5
"""Ratio of the duration of a task in another rack to that in the rack of its data, if
the settings have none."""

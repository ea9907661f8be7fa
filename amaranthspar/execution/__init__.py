"""State machine of a sidecar, which starts tasks and reports their results."""

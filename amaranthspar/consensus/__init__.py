"""Agreement of the controllers on one log."""

"""Exit codes of the program."""

DONE = 0
REFUSED = 1
BAD_INPUT = 2
UNKNOWN = 3

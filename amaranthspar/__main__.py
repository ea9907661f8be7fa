"""Entry point of ``python -m amaranthspar``."""

import sys

from amaranthspar import program

if __name__ == "__main__":
    sys.exit(program.main())

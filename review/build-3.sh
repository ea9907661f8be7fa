#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; they need only Python's own library.
set -e
cd "$(dirname "$0")"
python3 -m py_compile support-3/deployment.py 1[1-5]/case.py

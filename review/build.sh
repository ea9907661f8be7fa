#!/bin/sh
# The stand-ins are plain Python and use only what the deploy file's build installs.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import aiohttp"
python3 -m compileall -q review/standins

#!/bin/sh
# The stand-ins are Python programs of the standard library; nothing is built.
set -eu
cd "$(dirname "$0")/standin"
python3 -B -c 'import fleet, holds, platform_standin'

#!/bin/sh
# Checks that the stand-ins of the second review's scripts can be loaded. Nothing has to be built: they are
# Python and need only what the build of deploy/system.toml puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 2; }
PYTHONPATH=target/deps:review exec python3 -c "import standins_2"

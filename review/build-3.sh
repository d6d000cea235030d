#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15 can start: they are Python
# modules that use the libraries of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
  echo 'run the build line of deploy/system.toml first' >&2
  exit 1
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD/review:$PWD" \
  python3 -c 'import fleet_3, tests.store_standin'

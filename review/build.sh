#!/bin/sh
# Compiles every stand-in that the scripts start: those of this folder, and those
# of the project, which the build of the deploy file has copied into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q target/deps/lagoonlatch/standins
PYTHONPATH=target/deps:review/lib python3 -c "import bed; import lagoonlatch.standins.kv_store"

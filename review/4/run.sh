#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
exec env PYTHONPATH=target/deps:review/lib PYTHONDONTWRITEBYTECODE=1 python3 -m gevent.monkey review/4/case.py

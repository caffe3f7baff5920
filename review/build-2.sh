#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that use the standard
# library only, so this checks that each compiles with the Python that will run it.
cd "$(dirname "$0")/.." || exit 1
exec python3 -B - review/standins-2/harness.py review/6/run.py review/7/run.py \
    review/8/run.py review/9/run.py review/10/run.py <<'PYTHON'
import pathlib
import sys
import tomllib

assert sys.version_info >= (3, 11), "asyncio.timeout needs Python 3.11"
assert tomllib
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
print("the stand-ins compile")
PYTHON

#!/bin/sh
# Prepares the stand-ins of the scripts 6 to 10: one Python module that needs the standard library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib, sys
assert sys.version_info >= (3, 8), "Python 3.8 or newer is needed"
for source in sorted(pathlib.Path("standin-2").glob("*.py")) + sorted(pathlib.Path(".").glob("*/case.py")):
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
CHECK

#!/usr/bin/env bash
# Builds what the scripts of the cases start: the project's program, as the deploy file does. The
# stand-ins are Python files of the standard library and need no build; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --bin cowslipdeal
python3 - review/standin/*.py <<'P'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
P

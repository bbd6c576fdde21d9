#!/bin/sh
# Builds what the cases start beside the programs of the deploy file: the stand-ins are Python files that use the standard
# library alone, so this checks that each of them compiles, and writes nothing.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
exec python3 - common/harness.py [1-3]/case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name) as source:
        compile(source.read(), name, "exec")
CHECK

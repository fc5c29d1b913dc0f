#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library alone, so there is nothing to compile:
# this checks that the interpreter is there and reads them. The controller is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c '
import ast, glob, sys
for name in sorted(glob.glob("common/*.py") + glob.glob("[0-9]/*.py")):
    ast.parse(open(name, encoding="utf-8").read(), name)
print("stand-ins: ready, Python", sys.version.split()[0])
'
test -x ../target/oxbowmill || echo "target/oxbowmill is not built yet: run the build command of deploy/service.toml" >&2

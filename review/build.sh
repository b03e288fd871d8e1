#!/bin/sh
# The stand-ins are Python scripts (standard library only), so nothing is built; this checks them.
# The program itself is built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 - standins/*.py */case.py <<'END'
import ast, sys
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
END

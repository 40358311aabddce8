#!/usr/bin/env bash
# The stand-ins are Python with its standard library only, so nothing is compiled: this checks the interpreter.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else "Python 3.9 or later is needed")'
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import standins'

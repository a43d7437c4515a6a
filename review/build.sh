#!/bin/sh
# Builds what the scripts below review/ start beside the program of the deploy
# file. The stand-ins are review/lib/standins.py, which needs no build and only
# Python's standard library.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 exec python3 -c 'import ast; ast.parse(open("lib/standins.py").read())'

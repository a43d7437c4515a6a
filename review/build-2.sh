#!/bin/sh
# The stand-ins of cases 6 to 10 are review/lib-2/site2.py: Python of the standard
# library only, so that there is nothing to build. The entry VMs are built by the
# command of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c 'import ast; ast.parse(open("lib-2/site2.py").read())'

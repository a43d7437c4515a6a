#!/bin/sh
# The stand-ins of cases 6 to 10 are Python of the standard library only
# (review/lib-2/site2.py): there is nothing to build. The entry VMs are built by
# the command of deploy/system.toml.
cd "$(dirname "$0")/.." && python3 -m py_compile review/lib-2/site2.py && rm -rf review/lib-2/__pycache__

#!/bin/sh
# The stand-ins and the scripts need Python 3.11 and nothing else; checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m py_compile standins.py deployment.py */case.py

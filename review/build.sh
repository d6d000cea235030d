#!/bin/sh
# The stand-ins are plain Python without dependencies: this only compiles them.
cd "$(dirname "$0")/.." && exec python3 -m py_compile review/standins.py review/quota.py

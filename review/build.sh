#!/bin/sh
# Checks that every stand-in that a script starts can be compiled. They need
# no packages but those of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps PYTHONPYCACHEPREFIX=target/review \
    exec python3 -m compileall -q review/standins tests/store_standin.py

#!/bin/sh
# Builds the stand-ins that the cases 4 to 6 start: all of them are Python
# programs that need the deploy build alone. Compiling them shows that they are
# whole and that what they import is there.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q tests/store_standin.py review/standins-2 \
  review/4 review/5 review/6 || exit 1
PYTHONPATH=target/deps:tests:review/standins-2 python3 -c '
import aiohttp, attrs
import bed, runner, store_standin
import hoistmoor.platform.main
'

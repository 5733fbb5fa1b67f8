#!/bin/sh
# The scripts of this review start the programs of the deploy file only. Their stand-ins are Python 3.11 without
# further packages (review/lib-2/), so there is nothing to build; this checks that they can run.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed" >&2; exit 1; }
for case in review/[4-8]; do
  if [ -f "$case/case.py" ]; then python3 -m py_compile "$case/case.py"; fi
done
find review -name __pycache__ -prune -exec rm -rf {} +

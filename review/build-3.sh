#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start besides the build of the deploy
# file. The stand-ins use only Python's standard library, so that nothing has to be
# compiled; this checks that the interpreter can run them.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import sys, tomllib
if sys.version_info < (3, 11):
    sys.exit("expected Python 3.11 or newer, found " + sys.version)
for file in ["harness_3.py", *sys.argv[1:]]:
    compile(open(file, encoding="utf-8").read(), file, "exec")
' 1[1-5]/case.py

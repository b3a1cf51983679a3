#!/bin/sh
# The stand-ins of review/6 to review/10 are Python and need no build, only the standard
# library and the build of deploy/system.toml. This checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
python3 -B -c "import stand_ins_2" && test -f ../target/start.image && test -d ../target/deps

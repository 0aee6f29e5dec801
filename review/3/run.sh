#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
case_folder="$(cd "$(dirname "$0")" && pwd)"
cd "$case_folder/../.." || exit 2
[ -f target/mintpick.jar ] && [ -f target/review/ManyPredecessors.class ] || exit 2
exec java -Xmx512m -cp target/review ManyPredecessors "$case_folder"

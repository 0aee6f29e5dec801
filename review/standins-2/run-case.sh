#!/usr/bin/env bash
# Runs one case: the class of the case, and the folder for its record. Ends all processes that the case has started.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -f target/mintpick.jar ] && [ -f target/review-2/Case.class ] || { echo "not built: target/mintpick.jar or target/review-2"; exit 2; }
folder=$(mktemp -d) || exit 2
player=
finish() {
  if [ -n "$player" ]; then kill -KILL "$player" 2>/dev/null; wait "$player" 2>/dev/null; fi
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      # Only a process that still runs with the settings of this run.
      [ -r "/proc/$pid/cmdline" ] || continue
      if tr '\0' ' ' < "/proc/$pid/cmdline" 2>/dev/null | grep -qF "$folder/"; then kill -KILL "$pid" 2>/dev/null; fi
    done < "$folder/pids"
  fi
  if [ "${KEEP:-0}" = 1 ]; then echo "logs: $folder"; else rm -rf "$folder"; fi
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
java -Xmx${PLAYER_MEMORY:-512m} -cp target/review-2 Case "$1" "$2" "$folder" &
player=$!
wait "$player"
code=$?
player=
exit "$code"

#!/bin/sh
# Runs the case in the present folder. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without
# the disruption. A signal ends the case with all of its processes.
[ -f ../../target/main.cjs ] || exit 2
node case.mjs &
script=$!
trap 'kill -TERM "$script" 2>/dev/null' TERM INT
wait "$script"
status=$?
while kill -0 "$script" 2>/dev/null; do
  wait "$script"
  status=$?
done
# The case ends with 3 if the rule was broken: node itself ends with 1 if a script fails.
case $status in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac

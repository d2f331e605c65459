#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
java -Xmx256m -cp target/review review.LateCopy &
trap 'kill $! 2>/dev/null' INT TERM HUP
wait $!
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac

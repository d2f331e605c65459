#!/bin/sh
# The program itself follows this text, as a jar; java finds it at the end of the file.
# HAWTHORNLB_JAVA_OPTS is added last and so overrides what stands here.
case "${1:-} ${2:-}" in
  "standin platform") limits="-Xms32m -Xmx512m -XX:MaxDirectMemorySize=128m -XX:TieredStopAtLevel=1" ;;
  entry*) limits="-Xms24m -Xmx96m -XX:MaxDirectMemorySize=48m -XX:MaxMetaspaceSize=96m" ;;
  standin*) limits="-Xms16m -Xmx128m -XX:MaxDirectMemorySize=64m -XX:TieredStopAtLevel=1" ;;
  load*) limits="-Xms64m -Xmx1g -XX:MaxDirectMemorySize=512m" ;;
  *) limits="-Xms16m -Xmx768m -XX:MaxDirectMemorySize=512m -XX:TieredStopAtLevel=1" ;;
esac
# shellcheck disable=SC2086
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -XX:+UseSerialGC -Xss512k -XX:ReservedCodeCacheSize=48m \
  -XX:+ExitOnOutOfMemoryError $limits ${HAWTHORNLB_JAVA_OPTS:-} -jar "$0" "$@"
exit 127

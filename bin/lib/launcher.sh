#!/bin/sh
# The program itself follows this text, as a jar; java finds it at the end of the file.
# HAWTHORNLB_JAVA_OPTS is added last and so overrides what stands here.
case "${1:-}" in
  entry) memory="-Xms24m -Xmx96m -XX:MaxDirectMemorySize=48m -XX:MaxMetaspaceSize=96m" ;;
  standin) memory="-Xms16m -Xmx128m -XX:MaxDirectMemorySize=64m" ;;
  *) memory="-Xms16m -Xmx768m -XX:MaxDirectMemorySize=512m" ;;
esac
# shellcheck disable=SC2086
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -XX:+UseSerialGC -Xss512k -XX:ReservedCodeCacheSize=48m \
  -XX:+ExitOnOutOfMemoryError $memory ${HAWTHORNLB_JAVA_OPTS:-} -jar "$0" "$@"
exit 127

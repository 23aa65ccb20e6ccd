#!/bin/sh
# Launcher at the head of the executable file; the jar follows. Replaces itself by the JVM, so
# that signals reach it. An entry's heap holds its buffer budget of 256 MiB by default; an agent
# has a slot for a small process.
case "${1:-}" in
    entry) heap=512m ;;
    load) heap=1g ;;
    *) heap=64m ;;
esac
exec java ${GYPSUMROUTE_JAVA_OPTIONS:--Xmx$heap -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k} \
    -jar "$0" "$@"

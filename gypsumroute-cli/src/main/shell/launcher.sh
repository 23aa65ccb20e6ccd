#!/bin/sh
# Launcher at the head of the executable file; the jar follows. Replaces itself by the JVM, so
# that signals reach it. The memory settings suit an agent; entries raise the heap by
# GYPSUMROUTE_JAVA_OPTIONS. One malloc arena keeps the memory of many threads small.
export MALLOC_ARENA_MAX=1
exec java ${GYPSUMROUTE_JAVA_OPTIONS:--Xmx48m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k} \
    -jar "$0" "$@"

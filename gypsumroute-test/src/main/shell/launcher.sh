#!/bin/sh
# Launcher at the head of the executable file; the jar follows. Replaces itself by the JVM, so
# that signals reach it. Tests start dozens of these processes, hence the small memory settings.
export MALLOC_ARENA_MAX=1
exec java ${GYPSUMROUTE_JAVA_OPTIONS:--Xmx48m -Xms8m -Xmn4m -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -Xss256k -XX:MinHeapFreeRatio=10 -XX:MaxHeapFreeRatio=20} \
    -jar "$0" "$@"

#!/bin/bash
# Compiles the stand-ins of cases 6 to 10. Needs no network after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mvn -q -B -o -f review/stand-ins-2/pom.xml compile

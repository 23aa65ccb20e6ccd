#!/bin/bash
# Compiles the stand-ins of the review. Needs no network after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mvn -q -B -o -f review/stand-ins/pom.xml compile

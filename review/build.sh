#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start. Needs the JDK only; the programs under review are
# built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf rig/classes
mkdir -p rig/classes
javac --release 17 -Xlint:all -d rig/classes rig/src/*.java

#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/review-2. Needs the JDK only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && javac -Xlint:all -d target/review-2 review/rig-2/*.java

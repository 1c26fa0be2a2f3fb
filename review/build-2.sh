#!/bin/sh
# Builds the stand-ins of the second review. The program itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standins ./review/_standins-2

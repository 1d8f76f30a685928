#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-bed2 ./review/bed2

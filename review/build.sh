#!/bin/sh
# Builds the stand-ins that the scripts under review/ start, into review/bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/[1-5]/main.go; do
	[ -e "$main" ] || continue
	dir=$(dirname "$main")
	go build -tags review -o "review/bin/case-$(basename "$dir")" "./$dir"
done

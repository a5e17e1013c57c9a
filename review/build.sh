#!/bin/sh
# Builds the programs that the cases start besides those of the deploy file. Each holds the stand-ins of its case.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
for n in 1 2 3; do
	if [ -d "review/$n" ]; then go build -o "bin/review-case-$n" "./review/$n"; fi
done

#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: clients, workers, a discovery, a proxy, and the project's own resolver
# within them. It runs after the build of the deploy file, from anywhere.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/stand2

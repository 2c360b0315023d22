#!/bin/sh
# Builds what the scripts of review/ start beside bin/docksail. It needs no network after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/_standin

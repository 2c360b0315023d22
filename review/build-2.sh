#!/bin/bash
# Builds what the scripts of the second review start beside the program itself: the stand-ins for engines, discovery and
# clients (review/_standin2). The program is built as deploy/balancer.toml says.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin2 ./review/_standin2

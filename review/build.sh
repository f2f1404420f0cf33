#!/usr/bin/env bash
# Build the stand-ins of the review's scripts.
#
# They are Python modules, run from their source with the libraries that the build of
# deploy/system.toml put into target/deps. This only checks that they can be imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.:review python3 -c "import common.deployment, common.client"

#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file. Their stand-ins are plain
# JavaScript of this folder, without dependencies, so there is nothing to compile: only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 4/*.mjs 5/*.mjs 6/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done

#!/bin/bash
# The stand-ins are plain JavaScript; this only checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
for file in review/common/*.js review/[1-5]/*.js; do
	node --check "$file" || exit 1
done

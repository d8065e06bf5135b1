#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the project's programs in target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/kit ./review/_kit2

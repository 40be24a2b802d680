#!/bin/sh
# Builds the stand-ins of the review's cases and what plays them. The project's
# own programs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stage ./review/stage

#!/bin/sh
# Runs the case against target/bergamotlead. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec review/.bin/harness late_heartbeat review/5

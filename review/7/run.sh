#!/bin/sh
# Plays the case blank-lines (claim.txt). Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
exec "$(dirname "$0")/../standins-2/play.sh" blank-lines "$(dirname "$0")"

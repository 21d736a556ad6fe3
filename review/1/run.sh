#!/bin/sh
# An upgrade whose new process is killed brings the first configuration back.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 plays it
# without the disruption. Run the deploy file's build and review/build.sh first. What was sent,
# answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
record="$PWD/record.txt"
: > "$record" || exit 2
for program in ../bin/rig ../../bin/snowjunction; do
	if [ ! -x "$program" ]; then
		echo "could not run: $program is not built" > "$record"
		exit 2
	fi
done
exec ../bin/rig failed-upgrade "$record"

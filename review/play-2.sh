#!/bin/bash
# play-2.sh N CASE plays a case of the second review: it runs review/bin/standin2, which starts the program as a process of
# its own, and writes review/N/record.txt. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/.." || exit 2
number=$1 name=$2
for program in bin/docksail review/bin/standin2; do
	if [ ! -x "$program" ]; then
		echo "$program is not there: build as deploy/balancer.toml says, then review/build-2.sh" >&2
		exit 2
	fi
done
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 3 115 review/bin/standin2 -program bin/docksail -folder "$folder" -record "review/$number/record.txt" "$name"
status=$?
case $status in
0 | 1) exit $status ;;
*)
	tail -n 3 "$folder/docksail.log" 2>/dev/null | cut -c1-400 >&2
	exit 2
	;;
esac

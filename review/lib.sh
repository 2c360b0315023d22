# Helpers of the scripts in review/N/. A script sources this file from its own folder.
# It has $root (the repository), $here (the case's folder), $work (a temporary folder) and $record (record.txt).
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
record=$here/record.txt
trouble=${TROUBLE:-1}
work=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX") || exit 2
docksail=$root/bin/docksail
standin=$root/review/bin/standin
started=

# finish ends every process that the script started, adds the logs' ends to the record and exits with a status.
finish() {
	trap - EXIT INT TERM
	for pid in $started; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$work"
	exit "$1"
}
trap 'finish 2' EXIT INT TERM

say() { echo "$(date +%T.%3N) $*" | tee -a "$record"; }

# cannot ends the script as one that could not run.
cannot() {
	say "could not run: $*"
	finish 2
}

# start runs a command in the background with its output in $work/NAME.log, and sets $pid.
start() {
	name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pid=$!
	started="$started $pid"
}

# await COMMAND... waits up to 10 s until the command succeeds.
await() {
	for _ in $(seq 100); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	return 1
}

# listening PORT reports whether a process listens on a loopback port.
listening() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

if [ ! -x "$docksail" ] || [ ! -x "$standin" ]; then
	: >"$record"
	cannot "bin/docksail or review/bin/standin is missing: run the build of deploy/balancer.toml and review/build.sh"
fi
: >"$record"
say "trouble=$trouble"

# Shared by bin/fleet and bin/demo: starts and stops the processes of an example.
#
# A process is named after its settings file. Its pid and log stand under target/fleet/EXAMPLE.

FLEET_START_SECONDS=120
FLEET_STOP_SECONDS=75

fleet_use() {
  example=$1
  example_dir=examples/$example
  run_dir=target/fleet/$example
  if [ ! -f "$example_dir/platform.yaml" ]; then
    echo "no example $example; there are: $(ls examples)" >&2
    exit 2
  fi
  mkdir -p "$run_dir"
}

# Names of the processes, platform and endpoints first.
fleet_names() {
  if [ "${1:-}" = --small ]; then
    cat "$example_dir/small.txt"
    return
  fi
  local kind file
  for kind in platform engine service entry; do
    for file in "$example_dir/$kind".yaml "$example_dir/$kind"-*.yaml; do
      if [ -f "$file" ]; then
        basename "$file" .yaml
      fi
    done
  done
}

# The pid of a running process, or nothing. The system may have given the pid to another process
# since; so the command must name the settings file too.
fleet_pid() {
  local pid
  pid=$(cat "$run_dir/$1.pid" 2>/dev/null) || return 0
  if { tr '\0' ' ' < "/proc/$pid/cmdline"; } 2>/dev/null | grep -qF -- "$example_dir/$1.yaml"; then
    echo "$pid"
  fi
}

fleet_start_one() {
  local name=$1 settings=$example_dir/$1.yaml
  if [ -n "$(fleet_pid "$name")" ]; then
    return
  fi
  local command
  case $name in
    entry-*) command="entry" ;;
    *) command="standin ${name%%-*}" ;;
  esac
  # shellcheck disable=SC2086
  setsid target/hawthornlb $command --settings "$settings" \
    > "$run_dir/$name.log" 2>&1 < /dev/null &
  echo $! > "$run_dir/$name.pid"
}

# The address that callers use.
fleet_address() {
  case $1 in
    entry-*) sed -n 's/^http: {address: "\([^"]*\)".*/\1/p' "$example_dir/$1.yaml" ;;
    platform) sed -n 's/^port: /127.0.0.1:/p' "$example_dir/$1.yaml" ;;
    *) sed -n 's/.* port: \([0-9]*\).*/127.0.0.1:\1/p' "$example_dir/$1.yaml" ;;
  esac
}

fleet_health() {
  case $1 in
    entry-*) echo "http://$(fleet_address "$1")/health/$2" ;;
    *) echo "http://$(fleet_address "$1")/health" ;;
  esac
}

fleet_answers() {
  curl -fsS -m 2 -o "${2:-/dev/null}" "$1" 2> /dev/null
}

# Waits until a process answers; gives its log when it ended instead.
fleet_wait() {
  local name=$1 url deadline=$((SECONDS + FLEET_START_SECONDS))
  url=$(fleet_health "$name" "$2")
  # The pid is looked at first: another fleet on the same ports would answer in its place.
  until [ -n "$(fleet_pid "$name")" ] && fleet_answers "$url"; do
    if [ -z "$(fleet_pid "$name")" ]; then
      echo "$name ended; is another fleet on its ports?" >&2
      tail -5 "$run_dir/$name.log" >&2
      return 1
    fi
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "$name is not $2 after $FLEET_START_SECONDS s:" >&2
      curl -sS -m 2 "$url" >&2 || true
      echo >&2
      tail -5 "$run_dir/$name.log" >&2
      return 1
    fi
    sleep 0.2
  done
}

fleet_start() {
  local name first=
  for name in $(fleet_names "$@"); do
    fleet_start_one "$name"
    if [ "$name" = platform ]; then
      fleet_wait platform live
    fi
    case $name in entry-*) first=${first:-$name} ;; esac
  done
  for name in $(fleet_names "$@"); do
    fleet_wait "$name" live
  done
  fleet_put_catalogue "$first"
  for name in $(fleet_names "$@"); do
    fleet_wait "$name" ready
  done
}

# Puts the example's catalogue in force, unless one is.
fleet_put_catalogue() {
  local entry
  entry="http://$(fleet_address "$1")"
  if target/hawthornlb catalogue show --entry "$entry" --key-file "$example_dir/keys/operator.key" \
    2> /dev/null | grep -q '^# revision: [0-9]'; then
    return
  fi
  target/hawthornlb catalogue put --revision -1 --author fleet --entry "$entry" \
    --key-file "$example_dir/keys/operator.key" "$example_dir/catalogue.yaml"
}

fleet_status() {
  local name pid state stopped=0
  printf '%-22s %-18s %-8s %s\n' process address pid state
  for name in $(fleet_names "$@"); do
    pid=$(fleet_pid "$name")
    state=stopped
    if [ -n "$pid" ]; then
      state="not ready"
      fleet_answers "$(fleet_health "$name" ready)" && state=ready
    fi
    [ "$state" = ready ] || stopped=1
    printf '%-22s %-18s %-8s %s\n' "$name" "$(fleet_address "$name")" "${pid:--}" "$state"
  done
  return "$stopped"
}

# Entries go first, so that they finish what they have while endpoints still run.
fleet_stop() {
  local kind
  for kind in entry service engine platform; do
    fleet_stop_kind "$kind"
  done
}

fleet_stop_kind() {
  local name pid deadline=$((SECONDS + FLEET_STOP_SECONDS))
  for name in $(fleet_names | grep -E "^$1(-|\$)"); do
    pid=$(fleet_pid "$name")
    if [ -n "$pid" ]; then
      kill -TERM "$pid"
    fi
  done
  for name in $(fleet_names | grep -E "^$1(-|\$)"); do
    while [ -n "$(fleet_pid "$name")" ]; do
      if [ "$SECONDS" -ge "$deadline" ]; then
        echo "$name did not stop in $FLEET_STOP_SECONDS s and is killed" >&2
        kill -KILL "$(fleet_pid "$name")"
      fi
      sleep 0.2
    done
    rm -f "$run_dir/$name.pid"
  done
}

# Functions that tools/demo and tools/measure share: they start stand-ins and instances on free
# loopback ports and end them with the script. Source it from the repository's root.
bin=$PWD/build/release/bin
work=$(mktemp -d)
pids=()
operator_token=demo-operator-token
export BORAGEDOOR_TOKEN=$operator_token

finish() {
  for pid in "${pids[@]}"; do
    kill -9 "$pid" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  rm -rf "$work"
}
trap finish EXIT

# Waits until a command succeeds; the limit only ends a run that has failed.
await() {
  for _ in $(seq 300); do
    if "$@" > /dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

# Prints the address of the first stand-in of a kind.
standin_address() {
  sed -n "s/.*\"listen\":\"\([^\"]*\)\",\"standin\":\"$1\".*/\1/p" "$work/standins" | head -n 1
}

# Prints a text field of a JSON object that stands on one line of a file.
json_field() {
  sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" "$2" | head -n 1
}

# start_standins [FLAG...]
start_standins() {
  "$bin/boragedoor-standin" all "$@" > "$work/standins" &
  pids+=($!)
  disown
  await grep -q ordering "$work/standins"
}

# start_instance N: starts instance iN and puts it on the platform's list.
start_instance() {
  local n=$1
  cat > "$work/i$n.ini" << INI
[instance]
id = i$n
data_centre = dc-1
region = region-1

[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:0

[platform]
store = $(standin_address store)
instance_list = $(standin_address instances)
ordering = $(standin_address ordering)
usage_intake = $(standin_address usage)
weight_store = $(standin_address weights)

[operator]
token_sha256 = $(printf %s "$operator_token" | sha256sum | cut -d ' ' -f 1)

[events]
file = $work/i$n.events

[timing]
usage_grace = 1000
INI
  "$bin/boragedoord" --settings="$work/i$n.ini" > "$work/i$n.ready" &
  pids+=($!)
  disown
  await grep -q callers "$work/i$n.ready"
  local callers
  callers=$(json_field callers "$work/i$n.ready")
  targets=${targets:+$targets,}$callers
  export BORAGEDOOR_TARGET=$targets
  curl -sS -o /dev/null -X PUT "http://$(standin_address instances)/instances/i$n" -d "{
    \"address\": \"$callers\", \"peer_address\": \"$(json_field peers "$work/i$n.ready")\",
    \"data_centre\": \"dc-1\", \"region\": \"region-1\", \"state\": \"live\"}"
}

# await_instance N: waits until the platform's list, which lags behind, shows iN.
await_instance() {
  listed() {
    "$bin/boragedoor" instance list --json | grep -q "\"id\":\"i$1\""
  }
  await listed "$1"
}

# configure: proposes the configuration of samples/demo and issues a key, left in $key.
configure() {
  "$bin/boragedoor" questionnaire generate samples/demo/questionnaire.json > "$work/configuration.json"
  "$bin/boragedoor" config propose "$work/configuration.json"
  "$bin/boragedoor" key issue north --json > "$work/key"
  key=$(json_field key "$work/key")
}

#!/usr/bin/env bash
# Runs the whole system on loopback addresses: seven instances in three data centres, and emulated
# backend servers. Exits with a non-zero status if one of the checked guarantees is violated.
# Variables: RUN is the folder for files and logs (default run/demo), NET the first two numbers of
# the loopback addresses (default 127.0). KEEP=1 keeps the system running after the checks.
set -euo pipefail
cd "$(dirname "$0")/.."
run=${RUN:-run/demo}
net=${NET:-127.0} # the first two numbers of all addresses
rm -rf "$run" && mkdir -p "$run"
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

export BALSAMCTL_INSTANCE="$net.1.1:8082"
say() { printf '== %s\n' "$*"; }
ctl() { bin/balsamctl "$@"; }

go build -o bin/ ./cmd/balsamd ./cmd/balsamctl

voters="colombo-1=$net.1.1:8084, kandy-1=$net.2.1:8084, galle-1=$net.3.1:8084"
write_instance() { # name data-centre address data-folder
  cat > "$run/$1.ini" <<INI
[instance]
name = $1
data_centre = $2
[listen]
callers = $3:8080
backends = $3:8081
operators = $3:8082
platform = $3:8083
instances = $3:8084
[control]
data_folder = $4
voters = $voters
INI
}
write_instance colombo-1 colombo $net.1.1 "$run/data/colombo-1"
write_instance colombo-2 colombo $net.1.2 ""
write_instance colombo-3 colombo $net.1.3 ""
write_instance kandy-1 kandy $net.2.1 "$run/data/kandy-1"
write_instance kandy-2 kandy $net.2.2 ""
write_instance galle-1 galle $net.3.1 "$run/data/galle-1"
write_instance galle-2 galle $net.3.2 ""

write_fleet() {
  local dc=1 name
  cat <<INI
[data_centre colombo]
announce = $net.1.1:8081, $net.1.2:8081, $net.1.3:8081
[data_centre kandy]
announce = $net.2.1:8081, $net.2.2:8081
[data_centre galle]
announce = $net.3.1:8081, $net.3.2:8081
INI
  for name in colombo kandy galle; do
    for i in $(seq 0 12); do
      local layers=0-16
      [ $((i % 2)) -eq 1 ] && layers=16-32
      cat <<INI
[server $name-advice-$i]
address = $net.$dc.$((100 + i)):9000
data_centre = $name
accelerator = kind-$((i % 3))
model = icing-7b
layers = $layers
step = $((3000 + 1000 * (i % 3)))
INI
    done
    cat <<INI
[server $name-ordering]
address = $net.$dc.200:9000
data_centre = $name
services = booking, stock
INI
    dc=$((dc + 1))
  done
}
write_fleet > "$run/fleet.ini"

instances="$net.1.1 $net.1.2 $net.1.3 $net.2.1 $net.2.2 $net.3.1 $net.3.2"
callers=$(printf '%s:8080,' $instances); callers=${callers%,}

say "starting 7 instances in 3 data centres, 3 of them with a data folder, and 42 emulated backend servers"
for f in "$run"/{colombo,kandy,galle}-*.ini; do
  bin/balsamd -settings "$f" 2> "$run/$(basename "$f" .ini).log" &
  pids+=($!)
done
bin/balsamctl emulate -fleet "$run/fleet.ini" 2> "$run/emulate.log" &
pids+=($!)
sleep 0.2
for pid in "${pids[@]}"; do
  kill -0 "$pid" 2>/dev/null || { echo "a process did not start; see the logs in $run"; exit 1; }
done

wait_for() { # description command...
  local what=$1; shift
  for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  echo "BROKEN: $what did not happen within 10 s"; return 1
}
in_force() { # version; succeeds if it is in force at every instance
  for ip in $instances; do
    [ "$(ctl status -json -instance "$ip:8082" | grep -m1 '"config_version"' | tr -dc 0-9)" = "$1" ] || return 1
  done
}
sees_servers() {
  for ip in $instances; do
    [ "$(ctl status -json -instance "$ip:8082" | grep -c '"lease_ms"')" = 42 ] || return 1
  done
}

say "applying the first configuration"
wait_for "the first configuration" ctl config apply -folder examples/config -expect 0 -id demo-1
wait_for "configuration version 1 at all instances" in_force 1
wait_for "42 backend servers at all instances" sees_servers
say "configuration version 1 is in force at all 7 instances, and all see the 42 servers"

say "sending 60 drafts and 60 bookings (each twice, at two instances)"
ctl load -instances "$callers" -drafts 60 -bookings 60 -tokens 24 -concurrent 16 -seed 1

say "changing the configuration"
cp -r examples/config "$run/config"
printf '\n[workspace matara]\nmember = matara-moulds\n' >> "$run/config/base.ini"
ctl config apply -folder "$run/config" -instance $net.3.2:8082
wait_for "configuration version 2 at all instances" in_force 2
say "configuration version 2 is in force at all 7 instances"
if ctl config apply -folder "$run/config" -expect 1; then echo "BROKEN: a change against an old version was accepted"; exit 1; fi

say "draining colombo-advice-0 while drafts run"
bin/balsamctl load -instances "$callers" -drafts 80 -bookings 0 -tokens 24 -concurrent 16 -seed 2 > "$run/load-2.json" &
load=$!
sleep 0.3
ctl drain colombo-advice-0
wait $load || { echo "BROKEN: a draft was cut off by the drain"; cat "$run/load-2.json"; exit 1; }
idle() {
  for ip in $instances; do
    ctl status -instance "$ip:8082" | grep -E '^colombo-advice-0 .* 0 +true ' || return 1
  done
}
wait_for "colombo-advice-0 idle and leaving at all instances" idle
say "the 80 drafts were answered whole, and colombo-advice-0 has no work left"

say "stopping colombo-2 while it streams"
bin/balsamctl load -instances $net.1.2:8080 -drafts 8 -bookings 0 -tokens 100 -concurrent 8 -seed 3 > "$run/load-3.json" &
load=$!
sleep 0.3
kill -TERM "${pids[1]}"
wait $load || { echo "BROKEN: a draft was cut off by the shutdown"; cat "$run/load-3.json"; exit 1; }
wait "${pids[1]}"
say "its 8 drafts were answered whole before it stopped"

say "what the backend servers counted"
counts=$(curl -sf http://$net.1.200:9000/v1/counts)
twice=$(grep -o '"ran":[0-9]*' <<<"$counts" | grep -vc '"ran":1$' || true)
violations=$(grep -o '"violations":\[[^]]*\]' <<<"$counts")
echo "drafts: $(grep -o '"requests":[0-9]*' <<<"$counts"), layers out of order or run twice: $violations, bookings not run exactly once: $twice"
[ "$violations" = '"violations":[]' ] && [ "$twice" = 0 ] || { echo "BROKEN: see above"; exit 1; }
sleep 0.5
ctl credits -instance $net.1.1:8082
say "every promise held"
if [ "${KEEP:-}" = 1 ]; then
  # At the end of standard input, as without a terminal, read fails at once and the demo ends.
  read -rp "the system runs until Enter is pressed " _ || true
fi

#!/bin/bash
# Real members of control and many hollow agents on loopback: what a member and an agent cost, by how many there are.
# bench/scale.sh PROGRAM AGENTS STORES SECONDS; ends all it started. Prints one line of figures.
set -u
program=$1 agents=$2 stores=$3 seconds=$4
folder=$(mktemp -d)
port=23000
pids=()
end() { for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done; rm -rf "$folder"; }
trap end EXIT
settings() { # name ip district control
    cat <<T
station = "$1"
ip_addr = "$2"
district = "$3"
spare_ports = [$((port + 1)), $((port + 8))]
seed_list = ["127.9.0.1:$port", "127.9.0.2:$port", "127.9.0.3:$port"]
first_boot = true
$4
T
}
for i in 1 2 3; do
    mkdir "$folder/s$i"
    settings "control-$i" "127.9.0.$i" "zone-$i" "data_path = \"$folder/s$i\"
[listen_on]
control_addr = \"127.9.0.$i:$port\"" > "$folder/s$i.toml"
    "$program" control --settings "$folder/s$i.toml" > "$folder/s$i.log" 2>&1 &
    pids+=($!); disown
done
for ((i = 0; i < agents; ++i)); do
    settings "proxy-$i" "127.9.$((1 + i / 200)).$((1 + i % 200))" "zone-$((1 + i % 4))" "" > "$folder/c$i.toml"
    "$program" agent --hollow --settings "$folder/c$i.toml" > "$folder/c$i.log" 2>&1 &
    pids+=($!); disown
done
sleep 6
for ((i = 0; i < stores; ++i)); do
    echo "url = \"http://127.9.0.$((1 + i % 3)):$port/stores/i-$i\""
    echo 'request = "PUT"'
    echo "data = \"{\\\"depot\\\":\\\"svc-$((i / 3))\\\",\\\"address\\\":\\\"10.0.0.1:$i\\\",\\\"district\\\":\\\"zone-1\\\",\\\"standing\\\":\\\"accepting\\\",\\\"db_role\\\":\\\"branch_office\\\",\\\"call_seq\\\":1}\""
    echo 'output = "/dev/null"'
    echo next
done > "$folder/beats"
[ "$stores" -gt 0 ] && curl -s -K "$folder/beats" > /dev/null 2>&1
sleep 4
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
before=(); for pid in "${pids[@]}"; do before+=("$(ticks "$pid")"); done
sleep "$seconds"
s=0 c=0 sr=0 cr=0 cmost=0
for n in "${!pids[@]}"; do
    used=$(($(ticks "${pids[$n]}") - before[n]))
    if [ "$n" -lt 3 ]; then s=$((s + used)) sr=$((sr + $(rss "${pids[$n]}")))
    else c=$((c + used)) cr=$((cr + $(rss "${pids[$n]}"))); [ "$used" -gt "$cmost" ] && cmost=$used; fi
done
awk -v a="$agents" -v st="$stores" -v t="$seconds" -v s=$s -v c=$c -v sr=$sr -v cr=$cr -v m=$cmost 'BEGIN {
    printf "agents=%d stores=%d member_core=%.4f agent_core=%.5f agent_most_core=%.4f member_MB=%.1f agent_MB=%.1f\n",
        a, st, s / 3 / 100 / t, c / a / 100 / t, m / 100 / t, sr / 3 / 1024, cr / a / 1024 }'

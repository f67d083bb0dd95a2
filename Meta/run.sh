#!/usr/bin/env bash
# Set up, build, and run a demonstration on this machine: the fakes of the platform, two engines and a plain
# service, three nodes in three failure domains, then a streamed completion, a price lookup, a non-idempotent call and
# a batch job of 50 items. At the end all nodes do a planned stop.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh >/dev/null
work=$(mktemp -d)
fakes=()
nodes=()
stop() {
    for pid in "${nodes[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${nodes[@]}"; do wait "$pid" 2>/dev/null || true; done
    for pid in "${fakes[@]}"; do kill "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop EXIT

fake() {
    build/Tests/dogwoodkeel-fakes "$@" 2>>"$work/fakes.log" &
    fakes+=($!)
}
fake platform --listen=127.0.0.1:7600
fake engine --listen=127.0.0.1:7611
fake engine --listen=127.0.0.1:7612
fake service --listen=127.0.0.1:7621
fakePort() { for _ in $(seq 50); do curl -s -o /dev/null "http://127.0.0.1:$1/counts" && return; sleep 0.05; done; }
fakePort 7600

index=0
for domain in mvd-centro mvd-carrasco mvd-prado; do
    index=$((index + 1))
    printf '[node]\nvm = "entry-%s"\nfailure_domain = "%s"\n[listen]\nhttp = "127.0.0.1:770%s"\n' \
        "$index" "$domain" "$index" >"$work/node-$index.toml"
    build/Programs/dogwoodkeel serve --settings="Meta/demo/base.toml,$work/node-$index.toml" >"$work/node-$index.log" 2>&1 &
    nodes+=($!)
done
ready() {
    for _ in $(seq 200); do
        members=$(curl -s "http://127.0.0.1:$1/v1/entries" | grep -o address | wc -l || true)
        [ "$members" = 3 ] && return
        sleep 0.05
    done
    echo "node at $1 did not become ready" >&2
    cat "$work"/node-*.log >&2
    exit 1
}
for port in 7701 7702 7703; do ready "$port"; done
a=http://127.0.0.1:7701 b=http://127.0.0.1:7702 c=http://127.0.0.1:7703

echo '== which addresses to use'
curl -s "$a/v1/entries?caller=counter-3&failure_domain=mvd-prado"
echo '== a streamed completion at node 1'
curl -sN "$a/v1/chat/completions" -H 'Idempotency-Key: note-1' \
    -d '{"model":"appraisal","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"console, scratched"}]}'
echo '== its answer, read again at node 3'
curl -s "$c/v1/results/note-1"
echo '== a price lookup at node 2'
curl -s "$b/v1/services/prices/lookup?console=snes"
echo
echo '== an offer that pays out, sent twice with one key: it runs once'
for url in "$b" "$c"; do
    curl -s "$url/v1/services/offers/issue" -H 'Idempotency-Key: offer-7' -d '{"offer":7,"amount":120}'
    echo
done
echo '== a batch job of 50 items at node 2'
for item in $(seq 50); do
    echo "{\"model\":\"appraisal\",\"max_tokens\":8,\"prompt\":\"lot item $item\"}"
done >"$work/items.jsonl"
job=$(curl -s "$b/v1/batches" -H 'Idempotency-Key: lot-1' --data-binary "@$work/items.jsonl")
echo "$job"
id=$(sed 's/.*"id":"\([^"]*\)".*/\1/' <<<"$job")
for _ in $(seq 200); do
    state=$(curl -s "$c/v1/batches/$id")
    grep -q '"completed"' <<<"$state" && break
    sleep 0.05
done
echo "$state"
echo "== its results, first and last of $(curl -s "$a/v1/batches/$id/results" | wc -l)"
curl -s "$a/v1/batches/$id/results" | sed -n '1p;$p'
echo '== what each node answered'
for port in 7701 7702 7703; do
    echo "node at $port:"
    curl -s "http://127.0.0.1:$port/metrics" | grep '^dogwoodkeel_answers_total' || echo '  nothing'
done
echo '== platform calls'
curl -s http://127.0.0.1:7600/counts
echo
grep -q '"succeeded":50' <<<"$state" || { echo 'the batch job did not complete' >&2; cat "$work"/node-*.log >&2; exit 1; }
echo '== planned stop'
for pid in "${nodes[@]}"; do kill -TERM "$pid"; done
for pid in "${nodes[@]}"; do wait "$pid"; done
grep -h 'planned stop done' "$work"/node-*.log
nodes=()

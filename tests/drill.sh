#!/bin/bash
# The adapter on the wire: what malformed, unknown and several look like. Usage: drill.sh ADAPTER
drill=$1
fails=0
expect() {  # what, status wanted, pattern wanted in output, input
  out=$(printf '%s\n' "$4" | "$drill" 2>&1); status=$?
  if [ "$status" -ne "$2" ] || ! grep -qE "$3" <<<"$out"; then
    echo "FAILED: $1 (status $status)"; echo "$out"; fails=1
  fi
}
config='{"balancers":1,"classes":[{"name":"c","repeat":"idempotent","aimUs":1000000,"deadlineUs":5000000,"value":1,"new":{}}],"flavors":["k"],"specifics":{"dop":[1],"kindCores":[8]},"limits":{"maxAttempts":3},"zone":"z"}'
start() { echo '{"kind":"SNAPSHOT_ROWS","page":3,"lines":[{"node":'"$2"',"rackZone":"z","type":"k","condition":"in_service","heft":1,"bootTimeUs":null,"odd":1}]}
{"kind":"NEW_INSTANCE","who":'"$1"',"initSeed":5,"config":'"$config"'}
{"kind":"ENDPOINTS","who":'"$1"',"scope":"disk","stamp":1,"page":3}'; }
ask() { echo '{"kind":"INBOUND","who":'"$1"',"rid":"'"$2"'","costUs":1000,"expiresInUs":5000000,"needMb":null,"table":null,"profile":"'"${3:-c}"'","surprise":[1]}'; }
frame='{"kind":"FRAME","tUs":1000000}'
eob='{"kind":"EOB"}'

expect "an empty batch" 0 '^\{"kind":"NEXT"\}$' "$frame
$eob"
expect "a malformed line" 1 '^elmcleat_drill: line 2: ' "$frame
{\"kind\":"
expect "a missing field" 1 '^elmcleat_drill: line 2: .*initSeed' "$frame
{\"kind\":\"NEW_INSTANCE\",\"who\":1,\"config\":$config}"
expect "an unknown outcome" 1 'unknown word' "$frame
$(start 1 7)
$(ask 1 00000000000000aa)
$eob
$frame
{\"kind\":\"RESPONSE\",\"who\":1,\"rid\":\"00000000000000aa\",\"result\":\"odd\",\"roundNo\":0,\"node\":7}"
expect "unknown fields are skipped" 0 '"kind":"ROUTE".*"node":7.*"rid":"00000000000000aa"' "$frame
$(start 1 7)
$(ask 1 00000000000000aa)
$eob"
expect "a fault of the module is told" 0 '"kind":"GIVE_IN".*unknown profile' "$frame
$(start 1 7)
$(ask 1 00000000000000aa other)
$eob"
two="$frame
$(start 1 7)
$(start 2 8)
$(ask 1 00000000000000aa)
$(ask 2 00000000000000bb)
$eob"
expect "two instances: the first has its own list" 0 '"node":7,"rid":"00000000000000aa","who":1' "$two"
expect "two instances: the page was used again" 0 '"node":8,"rid":"00000000000000bb","who":2' "$two"
expect "a restart in one batch forgets" 0 '^\{"kind":"NEXT"\}$' "$frame
$(start 1 7)
$(ask 1 00000000000000aa)
{\"kind\":\"CRASH_NOW\",\"who\":1}
$(start 1 7)
{\"kind\":\"WITHDRAWN\",\"who\":1,\"rid\":\"00000000000000aa\"}
$eob"
many=${config/\"balancers\":1,/\"balancers\":1024,\"ordinal\":1023,}
[ "$many" != "$config" ] || { echo "FAILED: the many are not set"; fails=1; }
config=$many
thousand="$frame
$(for i in $(seq 1 1024); do start "$i" 7; done)
$(ask 1024 00000000000000cc)
$eob"
expect "1,024 gateways, all in one host: the last one serves" 0 '"node":7,"rid":"00000000000000cc","who":1024' "$thousand"
exit $fails

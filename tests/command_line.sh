#!/bin/bash
# Tests of the command line: options, validation of files, and error messages. Usage: command_line.sh PROGRAM
program=$1
here=$(cd "$(dirname "$0")/.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
fails=0
expect() {  # title, expected exit status, expected pattern in the output, command
  local title=$1 expected=$2 pattern=$3
  shift 3
  out=$("$@" 2>&1 </dev/null); status=$?
  if [ "$status" -ne "$expected" ] || ! grep -qE -- "$pattern" <<<"$out"; then
    echo "FAILED: $title (status $status)"; echo "$out"; fails=1
  fi
}
expect "the version" 0 '^elmcleat [0-9]+\.[0-9]+' "$program" --version
expect "the help lists check" 0 'check +validate files' "$program" --help
expect "an unknown option" 109 'not expected|--gatway' "$program" --gatway x
expect "an unknown log level" 105 'log-level' "$program" --log-level loud
expect "no configuration" 1 '^elmcleat: PROXY_CONFIG: is not set' env -u PROXY_CONFIG "$program"
expect "serve is the default command" 1 'PROXY_CONFIG: is not set' env -u PROXY_CONFIG "$program" serve
for file in "$here"/deploy/*.json; do expect "$file is valid" 0 '^1 file is valid' "$program" check "$file"; done
expect "a missing file" 1 'nowhere.json: can.t be read' "$program" check "$folder/nowhere.json"

cat >"$folder/bad.json" <<'JSON'
{"budgets": {"cores": 10, "wieght": 1, "nodes": [
  {"name": "a", "parent": "b", "guarantee": {"cores": 8}},
  {"name": "b", "parent": "a"},
  {"name": "c", "parent": "nobody"},
  {"name": "d", "guarantee": {"cores": 6}, "ceiling": {"cores": 2}},
  {"name": "e", "guarantee": {"cores": 6}},
  {"name": "f", "weight": -1},
  {"name": "g", "guarantee": {"cores": "many"}}]}}
JSON
# All errors are reported in one run: each of these is in its output.
for pattern in "budgets.wieght: unknown key; the nearest known key is '" \
  "budgets.nodes\[5\].weight: found -1; allowed is .*exclusiveMinimum" \
  'budgets.nodes\[6\].guarantee.cores: found "many"; allowed is .*number'; do
  expect "a schema violation: $pattern" 1 "$pattern" "$program" check "$folder/bad.json"
done
cat >"$folder/unsound.json" <<'JSON'
{"budgets": {"cores": 10, "nodes": [
  {"name": "a", "parent": "b"},
  {"name": "b", "parent": "a"},
  {"name": "c", "parent": "nobody"},
  {"name": "d", "guarantee": {"cores": 6}, "ceiling": {"cores": 2}},
  {"name": "e", "guarantee": {"cores": 6}},
  {"name": "e"},
  {"name": "f", "guarantee": {"cores": 1}}, {"name": "f/x", "guarantee": {"cores": 3}}]}}
JSON
for pattern in "unsound.json: budgets.nodes\[0\].parent: 'a' is its own ancestor" \
  "budgets.nodes\[1\].parent: 'b' is its own ancestor" "budgets.nodes\[2\].parent: 'nobody' is not a node" \
  "budgets.nodes\[3\].ceiling.cores: is 2, below the guarantee of 6" \
  "budgets.nodes\[5\].name: 'e' is a duplicate" "budgets.nodes\[6\].guarantee.cores: is 1, but 3 are guaranteed" \
  "budgets.cores: is 10, but 13 are guaranteed"; do
  expect "invalid budgets: $pattern" 1 "$pattern" "$program" check "$folder/unsound.json"
done
cat >"$folder/members.json" <<'JSON'
{"members": {"fleet": "", "perodS": 1, "suspectLeastS": 0.2, "suspectMostS": 0.1, "peers": [
  {"name": "n1", "at": "10.0.0.4:4300"}, {"name": "n1", "at": "10.0.0.5:4300"},
  {"name": "n2", "at": "10.0.0.4:4300"}, {"name": "n3", "at": "n3.svc:4300"}]}}
JSON
for pattern in 'members.fleet: found ""; allowed is .*minLength' \
  "members.perodS: unknown key; the nearest known key is 'periodS'" \
  "members.peers\[1\].name: 'n1' is already the name of peers\[0\]" \
  "members.peers\[2\].at: 10.0.0.4:4300 is already the address of peers\[0\]" \
  "members.peers\[3\].at: found 'n3.svc:4300'; allowed is an IPv4 address and a port" \
  "members.suspectMostS: is 0.1.*, below suspectLeastS" "members.suspectLeastS: is 0.2.*, below periodS"; do
  expect "invalid members: $pattern" 1 "$pattern" "$program" check "$folder/members.json"
done
echo '{"shared": {}}' >"$folder/shared.json"
expect "shared without members and budgets" 1 'shared: needs the sections members and budgets' "$program" check "$folder/shared.json"
echo '{"shared": {"loanS": 30, "guardS": 8}, "budgets": {"nodes": [{"name": "a"}]},
  "members": {"fleet": "f", "peers": [{"name": "a", "at": "10.0.0.4:1"}]}}' >"$folder/shared.json"
for pattern in "shared.guardS: must be below a quarter of loanS" "shared.loanS: with two guard times it exceeds members" \
  "shared: budgets define no guarantee and no ceiling in cores"; do
  expect "invalid shared: $pattern" 1 "$pattern" "$program" check "$folder/shared.json"
done
echo '{"view": {"users": 0, "mostUser": 9, "usablePart": 1.5}}' >"$folder/view.json"
for pattern in 'view.users: found 0; allowed is .*minimum' "view.mostUser: unknown key; the nearest known key is 'mostUsers'" \
  'view.usablePart: found 1.5; allowed is .*maximum'; do
  expect "an invalid view: $pattern" 1 "$pattern" "$program" check "$folder/view.json"
done
echo '{"view": {"users": 24, "mostUsers": 12}}' >"$folder/view.json"
expect "a view with mostUsers below users" 1 'view.mostUsers: ' "$program" check "$folder/view.json"
echo '{"budgets": {"nodes": [{"name": "a", "guarantee": {"cores": NaN}}]}}' >"$folder/nan.json"
expect "a NaN in JSON" 1 'nan.json: is not valid JSON: .*NaN|nan.json: is not valid JSON' "$program" check "$folder/nan.json"
echo '[]' >"$folder/list.json"
expect "a document that is not an object" 1 'list.json: the document: found \[\]; allowed is .*object' "$program" check "$folder/list.json"
echo '{"listen": "127.0.0.1:1", "changelog": "127.0.0.1:2", "seed": "7", "limits": {"sockets": 64}, "known": {"seq": 1,
  "results": [{"seq": 1, "fleet": {"whole": true, "hosts": [{"host": "s-00000001", "dial": "127.0.0.1:3"},
  {"host": "s-00000002", "dial": "127.0.0.1"}]}}]}}' >"$folder/known.json"
expect "an invalid engine address, reported with its index" 1 'known.results\[0\].fleet.hosts\[1\].dial: must be an IPv4' \
  env PROXY_CONFIG="$folder/known.json" "$program"
sed 's/{"host": "s-00000002", "dial": "127.0.0.1"}/[1]/' "$folder/known.json" >"$folder/known2.json"
expect "a list entry that is not an object" 1 'known.results\[0\].fleet.hosts\[1\]: must be an object' \
  env PROXY_CONFIG="$folder/known2.json" "$program"
echo '{"listen": "127.0.0.1:1"}' >"$folder/platform.json"
expect "a platform configuration" 1 'platform.json: changelog: is missing' "$program" check "$folder/platform.json"
expect "two files" 1 'list.json: ' "$program" check "$folder/platform.json" "$folder/list.json"
expect "a start with invalid budgets" 1 '^elmcleat: .*unsound.json: budgets.cores' \
  env PROXY_CONFIG="$folder/platform.json" "$program" --gateway "$folder/unsound.json"
exit $fails

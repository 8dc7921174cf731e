Guards against changes of a configuration that cost what there is, not what they
change, and against a bench that misreads its options.

Runs alone: it measures processor time.

  $ . "$TOP/regress/daemon.sh"
  $ config_cost --help | grep -o -e '--[a-z]*' | sort -u
  --change
  --help
  --json
  --rounds
  --routes
  $ check() { config_cost "$@" >out 2>err; echo "status $?"; cat err; }
  $ check --routes 0
  status 2
  config_cost: --routes: not numbers from 1 to 20000: 0
  $ check --routes 10,,20
  status 2
  config_cost: --routes: not numbers from 1 to 20000: 10,,20
  $ check --routes ''
  status 2
  config_cost: --routes: not numbers from 1 to 20000: 
  $ check --change route,host
  status 2
  config_cost: --change: not of route, key, limit, all: route,host
  $ check --rounds 0
  status 2
  config_cost: --rounds: not a number from 1 to 1000
  $ check --rounds many
  status 2
  config_cost: Cannot parse integer value “many” for --rounds
  $ check --fast
  status 2
  config_cost: Unknown option --fast
  $ check --routes 10 more
  status 2
  config_cost: unexpected argument: more
  $ check --routes 10 --change key --rounds 1 --json /dev/null/none
  status 1
  config_cost: --json: can't be written: /dev/null/none

A row for each number of routes and each kind of change, the same in both forms.

  $ config_cost --routes 10,100 --change route,all --rounds 3 --json rows.json | awk '{ print NF, $1, $2 }'
  15 routes change
  15 10 route
  15 10 all
  15 100 route
  15 100 all
  $ python3 -c 'import json
  > for row in json.load(open("rows.json")):
  >     print(row["routes"], row["change"], *sorted(row["us"]), all(v > 0 for v in row["us"].values()), row["peak_kb"] > 1000)'
  10 route change edits free log publish read receive whole True True
  10 all change edits free log publish read receive whole True True
  100 route change edits free log publish read receive whole True True
  100 all change edits free log publish read receive whole True True

A change of one route (comparing, decoding, publishing, freeing) costs at most twice as
much with 10,000 routes as with 10. The bytes that are received, logged and handed on
are aside; handed on are those of the change only.

  $ config_cost --routes 10,10000 --change route --rounds 101 --json rows.json >rows.txt
  $ python3 -c 'import json; few, many = json.load(open("rows.json")); print("at most twice" if many["us"]["change"] <= 2 * few["us"]["change"] else "more than twice", many["edits_bytes"] < 1000)'
  at most twice True

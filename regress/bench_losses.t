Guards against a table of losses that does not add up, and against a journal
entry that is taken for one.

  $ cat >entry.json <<END
  > {"site":"s","days":[
  >  {"name":"quiet-1","G":0.7,"parts":[["whole day",0.6,0.9],["worst class",0.4,0.8]],
  >   "prices":[["a",1,0.01],["b",2,0.1],["c",3,0.03],["d",4,0.02]]},
  >  {"name":"fresh-1","G":0.1,"parts":[],"prices":[]}]}
  > END
  $ python3 "$TOP/bench/losses.py" entry.json
  | site | day | worth | whole day | worst windows | worst class | worst zone | prices | largest prices |
  |---|---|---|---|---|---|---|---|---|
  | s | quiet-1 | 0.700 | 0.060 |  | 0.080 |  | 0.160 | b 0.100, c 0.030, d 0.020 |
  $ echo '{}' >entry.json; python3 "$TOP/bench/losses.py" entry.json 2>&1 | tail -n 1
  losses.py: entry.json: 'site'
  $ python3 "$TOP/bench/losses.py" missing.json 2>&1 | tail -n 1
  losses.py: missing.json: [Errno 2] No such file or directory: 'missing.json'

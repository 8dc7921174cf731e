Guards against a table of docs/CAPACITY.md that differs from the one computed
from the benchmark results in docs/capacity.txt.

  $ python3 "$TOP/bench/capacity.py" --check
  docs/CAPACITY.md matches docs/capacity.txt

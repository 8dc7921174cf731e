Guards against a capacity page whose table no longer follows from the measured
figures.

  $ python3 "$TOP/bench/capacity.py" --check
  the page follows from the figures

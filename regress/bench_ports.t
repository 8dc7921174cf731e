Guards against two fleets that choose the same port for their platforms: they
would share one platform, and each would see the other's changes and effects.

  $ cat >ports.py <<END
  > import random, sys
  > sys.dont_write_bytecode = True
  > sys.path.insert(0, "$TOP/bench")
  > import fleet
  > first = fleet.free_ports(1)[0]
  > real = random.randrange
  > answers = [first, first]
  > fleet.random.randrange = lambda a, b: answers.pop() if answers else real(a, b)
  > second = fleet.free_ports(1)[0]
  > print("the same" if first == second else "another", len(answers))
  > fleet.release_ports([first, second])
  > answers = [first]
  > print("free again", fleet.free_ports(1) == [first])
  > END
  $ python3 ports.py
  another 0
  free again True

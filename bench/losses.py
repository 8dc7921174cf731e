#!/usr/bin/env python3
"""What each day of a score loses, from the journal of the users' bench.

usage: losses.py JOURNAL_ENTRY...

Prints a table of the standard days of each score: worth, what each part of the
goal loses (its weight times what is missing to 1) and the three largest prices.
The worth, the losses and all prices add up to 1.
"""

import json
import sys

PARTS = ["whole day", "worst windows", "worst class", "worst zone"]
N_PRICES = 3


def read_days(path):
    with open(path, encoding="utf-8") as f:
        entry = json.load(f)
    return entry["site"], [d for d in entry["days"]
                           if not d["name"].startswith("fresh")]


def describe_day(site, day):
    losses = {name: weight * (1 - value) for name, weight, value
              in day["parts"]}
    prices = sorted(day["prices"], key=lambda price: -price[2])
    total = sum(price[2] for price in prices)
    cells = [site, day["name"], f"{day['G']:.3f}"]
    cells += [f"{losses[name]:.3f}" if name in losses else ""
              for name in PARTS]
    cells.append(f"{total:.3f}")
    cells.append(", ".join(f"{name} {price:.3f}" for name, _, price
                           in prices[:N_PRICES]))
    return "| " + " | ".join(cells) + " |"


def main():
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        sys.exit(__doc__.strip())
    head = ["site", "day", "worth"] + PARTS + ["prices", "largest prices"]
    print("| " + " | ".join(head) + " |")
    print("|" + "---|" * len(head))
    for path in sys.argv[1:]:
        try:
            site, days = read_days(path)
        except (OSError, ValueError, KeyError) as error:
            sys.exit(f"losses.py: {path}: {error}")
        for day in days:
            print(describe_day(site, day))


main()

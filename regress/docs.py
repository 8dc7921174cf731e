"""Compares operators' documentation with the code; prints each difference."""

import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SOURCE_DIRS = ["core", "lib", "goldcrestd", "goldcrestctl", "goldcrestcall",
               "standins", "platform"]

errors = []


def read(path):
    with open(os.path.join(ROOT, path), encoding="utf-8") as f:
        return f.read()


def sources():
    for top in SOURCE_DIRS:
        for folder, _, names in sorted(os.walk(os.path.join(ROOT, top))):
            for name in sorted(names):
                if name.endswith((".c", ".h")):
                    path = os.path.join(folder, name)
                    yield os.path.relpath(path, ROOT), read(path)


def compare(what, code, page, code_name, page_name):
    for item in sorted(set(code) - set(page)):
        errors.append(f"{what} {item}: in {code_name}, not in {page_name}")
    for item in sorted(set(page) - set(code)):
        errors.append(f"{what} {item}: in {page_name}, not in {code_name}")


def require(what, items):
    """Reports an empty list, whose comparison would check nothing."""
    if not items:
        errors.append(f"no {what} found")
    return items


def rows(path):
    """The cells of each table row."""
    for line in read(path).splitlines():
        if line.startswith("|") and not line.startswith("|---"):
            yield [cell.strip() for cell in line.strip("|").split("|")]


def check_events():
    header = "lib/log_events.h"
    page = "docs/LOGS.md"
    constants = require("events", re.findall(
        r"\b(GC_EVENT_\w+) = (\d+)", read(header)))
    numbers = [number for _, number in constants]
    for number in sorted(set(numbers)):
        if numbers.count(number) > 1:
            errors.append(f"event {number}: two constants in {header}")
    listed = [row for row in rows(page) if row[0].isdigit()]
    compare("event", numbers, [row[0] for row in listed], header, page)

    files = {path: text for path, text in sources() if path != header}
    code = "\n".join(files.values())
    for name, number in constants:
        if not re.search(rf"\b{name}\b", code):
            errors.append(f"event {number}: {name} is not used")
    for path, text in files.items():
        for found in re.findall(
                r"EVENT_\w+\s*=?\s*\d{4}\b"
                r"|gc_log(?:_error)?\([^;\"]*\b1\d{3}\b", text):
            errors.append(f"{path}: event number without a constant of "
                          f"{header}: {found}")
    # Joins literals that are split over several lines.
    joined = re.sub(r'"\s*\n\s*"', "", code)
    for row in listed:
        if f'"{row[2]}"' not in joined:
            errors.append(f"event {row[0]}: message \"{row[2]}\" in {page}, "
                          "not in the code")
        if row[1] not in ("debug", "info", "warning", "error"):
            errors.append(f"event {row[0]}: unknown level {row[1]}")
    # Calls that choose the level or event at run time are not checked.
    levels = {row[0]: row[1] for row in listed}
    by_name = dict(constants)
    for level, name in require("calls with a level", re.findall(
            r"\bGC_LOG_([A-Z]+),\s*(GC_EVENT_\w+)", code)):
        number = by_name.get(name)
        if number in levels and levels[number] != level.lower():
            errors.append(f"event {number}: level {levels[number]} in {page}, "
                          f"{level.lower()} in the code")


def metrics_of_code():
    names = set()
    for path, text in sources():
        names.update(re.findall(r'"(goldcrest_[a-z_]+)"', text))
    # lib/account_metrics.c joins its names from a label and a last part.
    source = read("lib/account_metrics.c")
    parts = require("parts of names in lib/account_metrics.c", re.findall(
        r'\] =\s+\{"([a-z_]+)",', source))
    labels = require("labels in lib/account_metrics.c", re.findall(
        r'create_series\(&[\w>-]+, "(\w+)"', source))
    names.update(f"goldcrest_{label}_{part}"
                 for label in labels for part in parts)
    return names


def check_metrics():
    page = "docs/METRICS.md"
    code = require("metrics", metrics_of_code())
    listed = [row[0].strip("`") for row in rows(page)
              if row[0].startswith("`")]
    compare("metric", code, listed, "the code", page)
    for name in re.findall(r"goldcrest_[a-z_]+", read(page)):
        if name not in code:
            errors.append(f"metric {name}: in the text of {page}, not in "
                          "the code")


def settings_of_code():
    table = read("lib/settings.c")
    table = table[table.index("fields[] = {"):]
    table = table[:table.index("\n};")]
    return require("settings in lib/settings.c",
                   re.findall(r'\{"(\w+)",', table))


def settings_of_man():
    names = []
    for line in read("goldcrestd/goldcrestd.conf.5").splitlines():
        if line.startswith(".It Va "):
            line = line[len(".It Va "):].split(" Pq ")[0]
            names += [name.strip() for name in line.split(" , ")]
    return names


def check_settings():
    code = settings_of_code()
    compare("setting", code, settings_of_man(), "lib/settings.c",
            "goldcrestd.conf.5")
    text = read("docs/OPERATIONS.md")
    section = text[text.index("### Settings"):]
    section = section[:section.index("\n### ", 1)]
    listed = re.findall(r"^\| `(\w+)` \|", section, re.M)
    compare("setting", code, listed, "lib/settings.c", "docs/OPERATIONS.md")


def check_routed_settings():
    table = read("lib/routed_settings.c")
    code = require("routed settings", re.findall(
        r'(?:text|endpoint|number|flag|list)\(\s*reader,\s*"(\w+)"', table))
    code.append("mode")
    man = []
    for line in read("goldcrestd/goldcrestd-routed.conf.5").splitlines():
        if line.startswith(".It Va "):
            man.append(line[len(".It Va "):].split(" Pq ")[0])
    compare("routed setting", code, man, "lib/routed_settings.c",
            "goldcrestd-routed.conf.5")
    text = read("docs/OPERATIONS.md")
    section = text[text.index("### Routed settings"):]
    section = section[:section.index("\n## ")]
    listed = re.findall(r"^\| `(\w+)` \|", section, re.M)
    compare("routed setting", code, listed, "lib/routed_settings.c",
            "docs/OPERATIONS.md")


def check_links():
    pages = ["README.md"] + sorted(
        "docs/" + name for name in os.listdir(os.path.join(ROOT, "docs"))
        if name.endswith(".md"))
    for page in pages:
        for target in re.findall(r"\]\(([^)\s]+)\)", read(page)):
            if re.match(r"[a-z]+:|#", target):
                continue
            path = os.path.normpath(os.path.join(
                os.path.dirname(page), target.split("#")[0]))
            if not os.path.exists(os.path.join(ROOT, path)):
                errors.append(f"{page}: {target} does not exist")


def main():
    check_events()
    check_metrics()
    check_settings()
    check_routed_settings()
    check_links()
    for error in errors:
        print(error)
    print("pages and code agree" if not errors else f"{len(errors)} errors")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())

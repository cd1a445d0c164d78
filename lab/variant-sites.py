#!/usr/bin/env python3
"""Writes variants of the given deployments to deploy/sites/, to look for values of one deployment in code or defaults.

    lab/variant-sites.py [--given DIR] [--to DIR]

Each table of lab/variant-sites.toml is one variant. It names the site file that it starts from and the settings that it
replaces; every other line is copied as it stands. What a site file needs beside it (the files that describe the wire,
the names on sockets, and so on) is copied too. Nothing of the given files is kept in the repository: deploy/sites/ is
ignored by git.

A setting is named by its table and key, as in `net.zones`. In an array of tables its place is part of the name, counted
from 0: `class.0.deadline_ms`. A setting that the original lacks is added at the end of its table; the value `"-"` (as
TOML text) removes a setting.
"""

import argparse
import pathlib
import re
import shutil
import sys
import tomllib

LAB = pathlib.Path(__file__).resolve().parent
ROOT = LAB.parent
REMOVED = '"-"'
TABLE = re.compile(r"^\[([^\[\]]+)\]\s*$")
ARRAY_TABLE = re.compile(r"^\[\[([^\[\]]+)\]\]\s*$")
SETTING = re.compile(r"^([A-Za-z_0-9]+)\s*=\s*(.*)$")


class TableNames:
    """Gives each table of a site file its name, with the place of the table in an array of tables."""

    def __init__(self):
        self.seen = {}

    def name_of(self, line):
        """The name of the table that this line opens, or None if it opens none."""
        if match := TABLE.match(line):
            return self.placed(match[1])
        if match := ARRAY_TABLE.match(line):
            name = self.placed(match[1])
            place = self.seen.get(name, -1) + 1
            self.seen[name] = place
            return f"{name}.{place}"
        return None

    def placed(self, dotted):
        """The name of a table below the latest table of an array: `tier.report` is `tier.0.report` in the first tier."""
        outer, _, inner = dotted.partition(".")
        if inner and outer in self.seen:
            return f"{outer}.{self.seen[outer]}.{inner}"
        return dotted


def substituted(text, changes):
    """The site file `text` with `changes` applied; exits with a message if a change names a table that is not there."""
    left = dict(changes)
    names = TableNames()
    table = ""
    lines = []
    for line in text.splitlines():
        if opened := names.name_of(line):
            add_missing(lines, left, table)
            table = opened
        elif match := SETTING.match(line):
            line = replaced(line, match[1], left, table)
        if line is not None:
            lines.append(line)
    add_missing(lines, left, table)
    if left:
        sys.exit(f"lab/variant-sites.py: the original has no table for {', '.join(left)}")
    return "\n".join(lines) + "\n"


def replaced(line, key, left, table):
    """The line with its new value, the line itself if it has none, or None if the setting is removed."""
    name = f"{table}.{key}" if table else key
    value = left.pop(name, None)
    if value is None:
        return line
    return None if value == REMOVED else f"{key} = {value}"


def add_missing(lines, left, table):
    """Adds the settings of `table` that the original does not have, before the blank lines that end the table."""
    added = [name for name in left if name.rpartition(".")[0] == table]
    end = len(lines)
    while end and not lines[end - 1].strip():
        end -= 1
    lines[end:end] = [f"{name.rpartition('.')[2]} = {left.pop(name)}" for name in added]


def value_text(value):
    """A value of the table of changes, written as TOML."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return "[" + ", ".join(value_text(item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


def flat(table, before=""):
    """The settings of nested tables, by dotted name."""
    for key, value in table.items():
        name = f"{before}{key}"
        if isinstance(value, dict):
            yield from flat(value, f"{name}.")
        else:
            yield name, value_text(value)


def copy_companions(kit, to):
    """Copies what a site file needs beside it: descriptions in JSON, and the kinds of trouble that the bench may play."""
    for description in (kit / "sites").glob("*.json"):
        shutil.copyfile(description, to / description.name)
    unlocked = [kit / folder / "unlock.txt" for folder in ("sites", "users")]
    (to / "unlock.txt").write_text("".join(path.read_text() for path in unlocked))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--given", type=pathlib.Path, default=ROOT.parent / "given")
    parser.add_argument("--to", type=pathlib.Path, default=ROOT / "deploy" / "sites")
    arguments = parser.parse_args()
    arguments.to.mkdir(parents=True, exist_ok=True)
    copy_companions(arguments.given / "kit", arguments.to)
    variants = tomllib.loads((LAB / "variant-sites.toml").read_text())
    for name, variant in variants.items():
        original = arguments.given / variant.pop("from")
        changes = {"name": value_text(name), "wire": value_text("wire.json"), **dict(flat(variant))}
        site = arguments.to / f"{name}.toml"
        site.write_text(substituted(original.read_text(), changes))
        print(site.relative_to(ROOT) if site.is_relative_to(ROOT) else site)


if __name__ == "__main__":
    main()

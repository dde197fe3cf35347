#!/usr/bin/env python3
"""Prints how often prompts were served, by size, from the log of entry daemons.

Reads log lines from files or standard input. Each attempt of a caller counts by
itself: a caller that returns after a refusal has a new request id. Attempts
whose callers left bear no route and count under "caller left".
"""

import argparse
import collections
import dataclasses
import fileinput
import re

FINAL_EVENTS = ("request_done", "request_refused", "caller_left", "stream_incomplete")
EVENT = re.compile(r"\bname=(\w+)")
FIELD = re.compile(r"\b(\w+)=(\S+)")
# Size classes by share of the attempts, largest first.
CLASSES = (("largest tenth", 0.0, 0.1), ("fifth below it", 0.1, 0.3), ("rest", 0.3, 1.0))


@dataclasses.dataclass
class Attempt:
    tokens: int
    is_served: bool
    was_sent: bool


def read_attempts(lines):
    """Returns the attempts with prompts, by route."""
    attempts = collections.defaultdict(list)
    for line in lines:
        event = EVENT.search(line)
        if event is None or event.group(1) not in FINAL_EVENTS:
            continue
        fields = dict(FIELD.findall(line))
        tokens = int(fields.get("tokens", 0))
        if tokens > 0:
            attempts[fields.get("route", "caller left")].append(
                Attempt(
                    tokens,
                    event.group(1) == "request_done",
                    fields.get("sends", "0") != "0",
                )
            )
    return attempts


def print_route(route, attempts):
    attempts.sort(key=lambda it: it.tokens, reverse=True)
    served_of_all = sum(it.is_served for it in attempts) / len(attempts)
    print(f"{route}: {len(attempts)} attempts, {served_of_all:.2f} served")
    for name, begin, end in CLASSES:
        part = attempts[int(begin * len(attempts)) : int(end * len(attempts))]
        if not part:
            continue
        served = sum(it.is_served for it in part) / len(part)
        unsent = sum(not it.is_served and not it.was_sent for it in part) / len(part)
        print(
            f"  {name:<15} {part[-1].tokens:>6} to {part[0].tokens:>6} tokens: "
            f"{served:.2f} served, {unsent:.2f} refused unsent"
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", nargs="*", help="log files; standard input if none")
    args = parser.parse_args()
    with fileinput.input(args.logs, errors="replace") as lines:
        attempts = read_attempts(lines)
    for route in sorted(attempts, key=lambda it: -len(attempts[it])):
        print_route(route, attempts[route])


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Works out the figures of docs/CAPACITY.md from docs/capacity-slopes.ini.

Without an option the tables are printed; --write puts them into the page, and
--check fails when the page holds others.
"""

import argparse
import configparser
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs" / "capacity-slopes.ini"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin: tools/capacity.py -->"
END = "<!-- end: tools/capacity.py -->"

# Full size.
DAEMONS = 400
SERVERS = 3700
REQUESTS_PER_S = 5500
TOKENS_PER_S = 1.5e6
PROMPTS = 120_000
ACCOUNTS = 4700
ZONES = 7
REGIONS = 2
CHANGES_PER_DAY = 2100
VM_FAILURES_PER_DAY = 26
RESTARTS_PER_DAY = 590
PRODUCTS = 2
SECONDS_PER_DAY = 86400

# Assumed: no size is stated for these.
STORES = SERVERS
ORDER_SHARE = 0.1

# Periods of the settings' defaults and of the code.
HEAD_POLL_S = 2
LIST_POLL_S = 1
LIST_HEARTBEAT_S = 8
LIST_CHECK_S = 600
LIST_READERS = 2
MEMBER_PAUSE_S = 0.1
LEASE_RENEW_S = 2
LEASE_SHARDS = 64
STATE_REFRESH_S = 30
STATE_CHANGES_PER_S = 0.01
REPORTS_PER_S = 0.5
SHARE_RENEWALS_PER_S = 0.2
CLAIM_HOMES = min(8, max(1, DAEMONS // 100))
CLAIM_TRANSACTIONS_PER_S = 200
CLAIM_INTERVAL_S = min(0.025, CLAIM_HOMES / CLAIM_TRANSACTIONS_PER_S)

# Bytes of HTTP heads and signatures around a small exchange.
EXCHANGE_BYTES = 450
CHUNK_BYTES = 8
DATAGRAM_BYTES = 28 + 110

CORE_BUDGET = 0.037
BYTE_BUDGET = 3000
TABLE_READS = 2000
TABLE_WRITES = 300


def load():
    ini = configparser.ConfigParser()
    ini.read(SLOPES)
    return lambda section, key: ini.getfloat(section, key)


def table(heads, rows):
    lines = ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def figure(value, unit=""):
    if value >= 100:
        text = f"{value:,.0f}"
    elif value >= 1:
        text = f"{value:.1f}"
    else:
        text = f"{value:.2g}"
    return text + (" " + unit if unit else "")


def core(micros_per_s):
    return f"{micros_per_s / 1e4:.3f} %"


def list_changes_per_s():
    """A VM that fails or is restarted goes, comes and may be listed leaving."""
    return (VM_FAILURES_PER_DAY + RESTARTS_PER_DAY) * 3 / SECONDS_PER_DAY


def list_bytes(slope):
    """Bytes a second for the list of VMs: of a follower, and of a reader."""
    whole = (DAEMONS + SERVERS + STORES) * slope("sizes", "list_entry_bytes")
    changes = list_changes_per_s()
    answer = EXCHANGE_BYTES + slope("sizes", "list_answer_bytes")
    told = (slope("sizes", "list_heartbeat_bytes") + answer) / LIST_HEARTBEAT_S
    told += changes * (slope("sizes", "list_change_bytes") + answer)
    # A check reads the whole list when it changed since the tag was given.
    check = (EXCHANGE_BYTES + changes * LIST_POLL_S * whole) / LIST_CHECK_S
    follower = LIST_READERS * told + check
    reader = EXCHANGE_BYTES / LIST_POLL_S + changes * whole
    return follower, reader, told * (DAEMONS / ZONES - LIST_READERS)


def roles(slope):
    """State, messages, processor time and memory of one daemon by role."""
    requests = REQUESTS_PER_S / DAEMONS
    servers = SERVERS / DAEMONS
    prompts = PROMPTS / DAEMONS
    renewals = ACCOUNTS * SHARE_RENEWALS_PER_S
    member_events = (VM_FAILURES_PER_DAY + RESTARTS_PER_DAY) * 3 / SECONDS_PER_DAY
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    per_request = (
        slope("busy", "core_percent") - slope("idle", "core_percent")
    ) * 1e4 / requests
    release = f"release_{ACCOUNTS}"
    apply_micros = slope(release, "apply_micros") + slope(release, "view_micros")
    return [
        (
            "caller entry",
            f"{figure(requests)} requests/s",
            f"{figure(2 * requests)}/s to homes",
            core(per_request * requests),
            "bounded by max_requests",
            "busy less idle (tools/bench idle), with the home's part",
        ),
        (
            "lookup of usable servers",
            f"view of {SERVERS:,} servers",
            "none",
            core(slope("view", "usable_servers_micros") * requests),
            f"{slope('view', 'memory_bytes_400') / 1e6:.1f} MB",
            "tools/bench view",
        ),
        (
            "home of servers",
            f"{figure(servers)} servers and their queues",
            f"{figure(servers * REPORTS_PER_S)} reports/s in",
            core(
                requests
                * (
                    slope("queue_64", "request_micros")
                    + 4 * slope("queue_64", "predict_micros")
                )
            ),
            "queue entries only",
            "tools/bench decisions: queue_64, four estimates a request",
        ),
        (
            "prompt directory",
            f"{figure(prompts)} prompts of 16 blocks",
            f"{figure(2 * requests)}/s lookups and updates",
            core(
                requests
                * (
                    slope("directory_300", "find_micros")
                    + slope("directory_300", "event_micros")
                )
            ),
            f"{prompts * slope('directory_300', 'prompt_bytes') / 1e6:.2f} MB",
            "tools/bench decisions: directory_300",
        ),
        (
            f"claim home (one of {CLAIM_HOMES})",
            "writes that wait",
            f"{figure(2 * REQUESTS_PER_S * ORDER_SHARE / CLAIM_HOMES)} writes/s in",
            core(
                2
                * REQUESTS_PER_S
                * ORDER_SHARE
                / CLAIM_HOMES
                * slope("claims", "micros_per_write_1")
            ),
            "bounded by 4,096 writes",
            "tools/bench decisions: claims",
        ),
        (
            "account shares",
            f"{figure(ACCOUNTS / DAEMONS)} accounts",
            f"{figure(renewals)}/s in at most",
            core(
                ACCOUNTS
                / DAEMONS
                * DAEMONS
                * SHARE_RENEWALS_PER_S
                * slope("shares", "micros_400")
            ),
            "one lease per account and daemon",
            "tools/bench decisions: shares, every daemon active for every account",
        ),
        (
            "membership",
            f"{DAEMONS} members",
            f"{figure(slope('gossip_400', 'messages_per_second'))}/s out",
            core(slope("gossip_400", "micros_per_second")),
            f"{slope('gossip_400', 'memory_bytes') / 1e6:.2f} MB",
            "tools/bench gossip_slope: with the driver's own cost",
        ),
        (
            "view rebuild",
            "members, servers, releases",
            f"{figure(member_events * 3600)} rebuilds/h",
            core(member_events * slope("view", "rebuild_micros_400")),
            f"{slope('view', 'memory_bytes_400') / 1e6:.1f} MB",
            "tools/bench view; "
            + figure(slope("view", "rebuild_micros_400") / 1000, "ms each"),
        ),
        (
            "release follower",
            f"{ACCOUNTS:,} accounts",
            f"{figure(changes * 3600)} notes/h",
            core(changes * apply_micros),
            f"{slope(release, 'view_bytes') / 1e6:.1f} MB",
            "tools/bench view; " + figure(apply_micros / 1000, "ms each"),
        ),
    ]


def platform(slope):
    """Calls of the platform by all daemons."""
    heads = DAEMONS / HEAD_POLL_S
    leases = LEASE_SHARDS / LEASE_RENEW_S
    readers = LIST_READERS * ZONES
    lists = readers / LIST_POLL_S + (DAEMONS - readers) / LIST_CHECK_S
    bodies = DAEMONS * CHANGES_PER_DAY / SECONDS_PER_DAY
    claims = 2 * REQUESTS_PER_S * ORDER_SHARE
    orders = REQUESTS_PER_S * ORDER_SHARE
    # The first write of a batch waits for the interval.
    batch = 1 + claims / CLAIM_HOMES * CLAIM_INTERVAL_S
    releases = CHANGES_PER_DAY / SECONDS_PER_DAY
    reads = [
        ("heads, one scan each", heads, "ReleaseRunner"),
        ("release notes", bodies, "ReleaseRunner"),
        ("claim rows before a claim", orders, "ClaimedCall"),
    ]
    writes = [
        ("lease renewals", leases, "ShardRunner"),
        ("release notes", releases, "OperatorService"),
        (
            f"claims and outcomes, {figure(batch)} to a transaction",
            claims / batch,
            "ClaimBatcher",
        ),
    ]
    rows = [(f"read: {it[0]}", figure(it[1], "/s"), it[2]) for it in reads]
    total = sum(it[1] for it in reads)
    rows.append(("**reads**", f"{figure(total)} of {TABLE_READS:,}/s", ""))
    rows += [(f"write: {it[0]}", figure(it[1], "/s"), it[2]) for it in writes]
    total = sum(it[1] for it in writes)
    rows.append(("**writes**", f"{figure(total)} of about {TABLE_WRITES}/s", ""))
    rows.append(("list reads", figure(lists, "/s"), "ListRunner"))
    return rows


def split(slope):
    """Control bytes of one daemon by mechanism: as built, and as proposed."""
    servers = SERVERS / DAEMONS
    gossip = slope("gossip_400", "bytes_per_second")
    gossip += DATAGRAM_BYTES * slope("gossip_400", "messages_per_second")
    listed = (DAEMONS + SERVERS + STORES) * slope("sizes", "list_entry_bytes")
    report = slope("sizes", "engine_report_bytes") + CHUNK_BYTES
    state = slope("sizes", "engine_state_bytes")
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    push = SERVERS * STATE_CHANGES_PER_S * (state + EXCHANGE_BYTES)
    push += (SERVERS * state + DAEMONS * PRODUCTS * EXCHANGE_BYTES) / STATE_REFRESH_S
    rows = [
        ("gossip, sent", gossip, gossip),
        (
            "heads, one scan each 2 s",
            (EXCHANGE_BYTES + 200 * PRODUCTS) / HEAD_POLL_S,
            (EXCHANGE_BYTES + 200 * PRODUCTS) / HEAD_POLL_S,
        ),
        (
            "list of VMs, its changes from the zone's two readers",
            list_bytes(slope)[0],
            (listed / (DAEMONS / ZONES) + EXCHANGE_BYTES) / 60,
        ),
        (
            "load reports of its servers, on change and each 2 s",
            servers * REPORTS_PER_S * report,
            servers * REPORTS_PER_S * report,
        ),
        (
            "release notes, applied by each daemon",
            changes * (slope("sizes", "note_row_bytes") + EXCHANGE_BYTES),
            changes * (400 + EXCHANGE_BYTES),
        ),
        (
            "server states pushed to the shard holders, spread over all daemons",
            push / DAEMONS,
            push / DAEMONS,
        ),
    ]
    shown = [(it[0], figure(it[1], "B/s"), figure(it[2], "B/s")) for it in rows]
    shown.append(
        (
            f"**total of {BYTE_BUDGET:,} B/s**",
            figure(sum(it[1] for it in rows), "B/s"),
            figure(sum(it[2] for it in rows), "B/s"),
        )
    )
    return shown, push


def rebuilds(slope, daemons):
    """Processor time of the views when so many daemons die in a row."""
    each = slope("view", "rebuild_micros_400") / 1e6
    if daemons == 1:
        return figure(each, "s")
    return f"at most {each / MEMBER_PAUSE_S:.0%} of the time"


def lost(slope):
    """What is re-homed when daemons go."""
    servers = SERVERS / DAEMONS
    prompts = PROMPTS / DAEMONS
    rows = []
    for name, daemons in (
        ("a daemon", 1),
        ("a zone", DAEMONS / ZONES),
        ("a region", DAEMONS / REGIONS),
    ):
        rows.append(
            (
                name,
                figure(daemons),
                figure(daemons * servers) if daemons == 1 else "its servers are lost",
                figure(daemons * prompts),
                figure(daemons / DAEMONS * LEASE_SHARDS),
                rebuilds(slope, daemons),
            )
        )
    return rows


def render():
    slope = load()
    bytes_split, push = split(slope)
    _, read, sent = list_bytes(slope)
    parts = [
        "### Roles, per daemon at full size",
        table(
            ["role", "state", "messages", "processor time", "memory", "figure from"],
            roles(slope),
        ),
        "### Calls of the platform, all daemons",
        table(["call", "rate", "carried by"], platform(slope)),
        "### Control bytes of a daemon",
        table(["mechanism", "as built", "as proposed"], bytes_split),
        f"Each of the {LIST_READERS * ZONES} readers of the list of VMs has "
        f"{figure(read / 1000, 'kB/s')} more from the platform, and sends "
        f"{figure(sent / 1000, 'kB/s')} to its zone.",
        "A holder that has both products on its shards receives "
        f"{figure(push / 1000, 'kB/s')} of pushed states.",
        "### What is lost and re-homed",
        table(
            [
                "lost",
                "daemons",
                "servers re-homed",
                "prompt homes moved",
                "shards taken over",
                "rebuilds at each daemon",
            ],
            lost(slope),
        ),
    ]
    return "\n\n".join(parts)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    text = render()
    if not (options.check or options.write):
        print(text)
        return 0
    page = PAGE.read_text(encoding="utf-8")
    head, rest = page.split(BEGIN)
    old, tail = rest.split(END)
    new = f"\n\n{text}\n\n"
    if options.write:
        PAGE.write_text(head + BEGIN + new + END + tail, encoding="utf-8")
        return 0
    if old != new:
        print("docs/CAPACITY.md: run tools/capacity.py --write", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

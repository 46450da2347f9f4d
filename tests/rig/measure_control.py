"""Measures the control processes alone at several fleet sizes: CPU time,
memory, bytes on the wire (including TCP and IP headers) and calls to the
platform. Prints one line per fleet size, and the increase per added host
between them."""

import argparse
import json
import os
import tempfile
import time

from fleet import Fleet, http_call

TICK = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE


def loopback_bytes():
    with open("/proc/net/dev") as dev:
        for line in dev:
            if line.strip().startswith("lo:"):
                return int(line.split(":")[1].split()[0])
    raise AssertionError("no loopback interface")


def platform_calls(fleet):
    stats = json.loads(http_call(fleet.platform_address, "GET", "/stats")[2])
    return {name: value for name, value in stats.items()
            if isinstance(value, int)}


class ControlFleet(Fleet):
    """A fleet whose hosts run only their control process."""

    def start_host(self, host, kinds=("control",)):
        super().start_host(host, kinds)


def measure(hosts, seconds, octet):
    directory = tempfile.mkdtemp(prefix="applestand-measure-")
    per_region = {"r1": ((hosts + 1) // 2, 0), "r2": (hosts // 2, 0)}
    with ControlFleet(per_region, directory, octet,
                      settings={"region_hosts": (hosts + 1) // 2}) as fleet:
        # Waits until contract shares are assigned and records are stable.
        time.sleep(20)
        pids = [h.processes["control"].child.pid for h in fleet.hosts]
        cpu = [cpu_seconds(p) for p in pids]
        wire, calls, start_time = (loopback_bytes(), platform_calls(fleet),
                                   time.time())
        time.sleep(seconds)
        elapsed = time.time() - start_time
        used = [cpu_seconds(p) - c for p, c in zip(pids, cpu)]
        sent = loopback_bytes() - wire
        made = {name: (value - calls.get(name, 0)) / elapsed
                for name, value in platform_calls(fleet).items()}
        return {
            "hosts": hosts,
            "cpu_percent_a_host": 100 * sum(used) / elapsed / hosts,
            "resident_mb_a_host":
                sum(resident_bytes(p) for p in pids) / hosts / 1e6,
            "wire_kb_s_a_host": sent / elapsed / hosts / 1e3,
            "platform_calls_s": {k: round(v, 2) for k, v in made.items()},
        }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", default="4,8,16,32")
    parser.add_argument("--seconds", type=float, default=20)
    arguments = parser.parse_args()
    rows = []
    for number, hosts in enumerate(arguments.hosts.split(",")):
        rows.append(measure(int(hosts), arguments.seconds, 240 + number))
        print(json.dumps(rows[-1]), flush=True)
    for first, last in zip(rows, rows[1:]):
        step = last["hosts"] - first["hosts"]
        print(f"{first['hosts']} to {last['hosts']} hosts: " + ", ".join(
            f"{name} {(last[name] - first[name]) / step:+.4f} a host more"
            for name in ("cpu_percent_a_host", "resident_mb_a_host",
                         "wire_kb_s_a_host")))


if __name__ == "__main__":
    main()

"""Measures a complete fleet of real processes under a generated trace, at the
users' current deployment sizes. Prints one line per scenario: latency, refusals
of requests within the contract rate, worst-served account and missed outcomes.
Everything runs on one machine: network latency between regions is not
simulated."""

import argparse
import hashlib
import json
import os
import subprocess
import tempfile
import threading
import time

from fleet import BIN, TOKEN, Fleet, http_call

DEPLOYMENTS = {
    "lenha": {
        "regions": {"norte": (4, 3), "centro": (3, 3), "sul": (3, 3)},
        "networks": ["10.1.0.0/16", "10.2.0.0/16", "10.3.0.0/16"],
        "services": {"desk": (10, 4), "intake": (4, 3)},
        "routes": [("stock", "/stock", "desk", True),
                   ("slots", "/slots", "desk", True),
                   ("orders", "/orders", "desk", False),
                   ("payments", "/payments", "desk", False),
                   ("photos", "/photos", "intake", False)],
    },
    "pwani": {
        "regions": {"dar": (4, 3), "znz": (3, 3), "mtwara": (3, 3)},
        "networks": ["10.11.0.0/16", "10.12.0.0/16", "10.13.0.0/16"],
        "services": {"desk": (8, 6), "intake": (4, 3)},
        "routes": [("wrecks", "/wrecks", "desk", True),
                   ("register", "/register", "desk", True),
                   ("claims", "/claims", "desk", False),
                   ("transfers", "/transfers", "desk", False),
                   ("scans", "/scans", "intake", False)],
    },
}


class DeploymentFleet(Fleet):
    """In each region one process per service provides all targets, on many
    ports."""

    def __init__(self, deployment, directory, octet):
        super().__init__({r: (hosts, 0) for r, (hosts, _) in
                          deployment["regions"].items()}, directory, octet,
                         settings={"region_hosts": 5})
        self.deployment = deployment

    def start(self):
        super().start()
        self.target_region = {}
        for index, region in enumerate(self.regions):
            for service, (count, slots) in self.deployment["services"].items():
                addresses = [f"{self.net}.{200 + index}:{port}" for port in
                             range(*((9000, 9000 + count) if service == "desk"
                                     else (9500, 9500 + count)))]
                arguments = ["applestand-target-standin", "--slots",
                             str(slots), "--service-ms", "20"]
                for address in addresses:
                    arguments += ["--listen", address]
                process = self.spawn(f"targets {region} {service}", arguments)
                self.target_region.setdefault(region, []).append(process)
                for n, address in enumerate(addresses):
                    self.ctl("target", "put", f"{service}-{region}-{n}",
                             "--service", service, "--region", region,
                             "--zone", f"{region}-a", "--address", address,
                             "--slots", str(slots))
        for name, prefix, service, repeatable in self.deployment["routes"]:
            self.ctl("route", "put", name, "--prefix", prefix, "--service",
                     service, *(["--repeatable"] if repeatable else []))
        for network, region in zip(self.deployment["networks"], self.regions):
            other_regions = [r for r in self.regions if r != region]
            self.ctl("block", "put", network, "--regions",
                     ",".join([region] + other_regions))

    def add_contracts(self, header):
        for account, contract in header["contracts"].items():
            self.ctl("account", "put", account, "--rate",
                     str(contract["requests_per_second"]), "--burst",
                     str(contract["burst"]))
            secret = f"{account}-secret-of-traces"
            change = {"id": f"key-{account}", "author": "rig",
                      "operation": "put-key",
                      "item": {"id": account, "account": account,
                               "secret_sha256": hashlib.sha256(
                                   secret.encode()).hexdigest()}}
            status, _, body = http_call(
                self.hosts[0].api_address, "POST", "/v1/changes",
                json.dumps(change).encode(),
                {"Authorization": "Bearer " + TOKEN})
            assert status in (200, 202), body


def make_trace(name, seconds, rate, excess, scenario):
    arguments = [os.path.join(BIN, "applestand-load"), "--generate", name,
                 "--seconds", str(seconds), "--rate", str(rate)]
    if excess:
        arguments += ["--excess", str(excess)]
    generated = subprocess.run(arguments, capture_output=True, check=True,
                               text=True).stdout
    lines = [json.loads(line) for line in generated.splitlines()]
    for line in lines:
        if "idempotency_key" in line:
            # All scenarios run on the same fleet, so keys must differ between
            # them.
            line["idempotency_key"] += f"-{scenario}"
    return "\n".join(json.dumps(line) for line in lines) + "\n"


def replay(fleet, trace, seconds):
    arguments = [os.path.join(BIN, "applestand-load"), "--output", "json",
                 "--resend"]
    for host in fleet.hosts[1:4]:
        arguments += ["--lookup", host.lookup_address]
    result = subprocess.run(arguments, input=trace, capture_output=True,
                            text=True, timeout=seconds * 3 + 60)
    if not result.stdout:
        raise AssertionError(result.stderr)
    return json.loads(result.stdout)


def freeze_platform(fleet, seconds):
    time.sleep(seconds / 3)
    fleet.platform.pause()
    time.sleep(seconds / 3)
    fleet.platform.resume()


def kill_host(fleet, seconds):
    time.sleep(seconds / 3)
    for process in fleet.hosts[-1].processes.values():
        process.kill()


def kill_region(fleet, seconds):
    time.sleep(seconds / 3)
    region = fleet.regions[-1]
    for host in fleet.hosts:
        if host.region == region:
            for process in host.processes.values():
                process.kill()
    for process in fleet.target_region[region]:
        process.kill()


SCENARIOS = [("normal", 0, None), ("one account at 5x", 5, None),
             ("store outage", 0, freeze_platform), ("dead host", 0, kill_host),
             ("region lost", 0, kill_region)]


def summarize(report):
    totals = report["all"]
    accounts = report["accounts"]
    worst = min(accounts, key=lambda a: accounts[a]["ran"] /
                max(1, accounts[a]["requests"]))
    return {
        "requests": totals["requests"], "ran": totals["ran"],
        "unknown": totals["unknown"], "statuses": report["statuses"],
        "refused_inside_rate": totals["refused_inside_rate"],
        "p50_ms": round(totals["latency_ms"]["p50"], 1),
        "p99_ms": round(totals["latency_ms"]["p99"], 1),
        "worst_account": worst,
        "worst_served": round(accounts[worst]["ran"] /
                              max(1, accounts[worst]["requests"]), 3),
        "missed": report["missed"],
        "first_missed": report["missed_examples"][:2],
    }


def run(name, seconds, rate):
    directory = tempfile.mkdtemp(prefix=f"applestand-{name}-")
    with DeploymentFleet(DEPLOYMENTS[name], directory, 230) as fleet:
        header = json.loads(make_trace(name, 1, rate, 0, 0).splitlines()[0])
        fleet.add_contracts(header)
        time.sleep(25)  # Until every host owns contract shares.
        for number, (scenario, excess, fault) in enumerate(SCENARIOS):
            trace = make_trace(name, seconds, rate, excess, number)
            thread = threading.Thread(target=fault, args=(fleet, seconds)) \
                if fault else None
            if thread:
                thread.start()
            report = replay(fleet, trace, seconds)
            if thread:
                thread.join()
            print(json.dumps({"deployment": name, "scenario": scenario,
                              **summarize(report)}), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="lenha,pwani")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--rate", type=int, default=300)
    arguments = parser.parse_args()
    for name in arguments.deployment.split(","):
        run(name, arguments.seconds, arguments.rate)


if __name__ == "__main__":
    main()

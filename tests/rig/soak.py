"""A randomized soak: real hosts as processes, with proxies between them and the
store, their targets and their callers; faults from outside in overlapping series;
promises checked from what callers and targets see.

    python3 tests/rig/soak.py --seeds 1-50 [--seconds 8] [--jobs 5] [--hosts 4]

Prints a line a seed and the failed ones; exits 1 where one failed. Seeds that
ever failed stand in tests/rig/soak_regressions.txt, each with its cause, and run
first with --regressions.
"""

import argparse
import concurrent.futures
import pathlib
import random
import shutil
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from fault_proxy import FaultProxy
from users_platform import Caller, World

ZONES = ["norte-1", "norte-2", "sul-1", "sul-1"]
REGRESSIONS = pathlib.Path(__file__).with_name("soak_regressions.txt")
# Time after the last fault within which every host serves again.
RECOVERY_S = 15
MOST_HOSTS_WITH_TARGET_PROXIES = 12


class SoakWorld(World):
    """Every host reaches the store through a proxy of its own, and is reached
    by callers through another one; targets are reached through proxies too."""

    STORE, CALLERS, TARGETS, TARGETS_SHOWN = 1, 2, 3, 4
    TARGETS_PER_ZONE = 2

    def __init__(self, octet, hosts):
        zones = [ZONES[n % len(ZONES)] for n in range(hosts)]
        options = []
        # A thread a connection is too much between many hosts and the targets.
        few = hosts <= MOST_HOSTS_WITH_TARGET_PROXIES
        if few:
            shown, real = (f"127.{octet}.{net}.1"
                           for net in (self.TARGETS_SHOWN, self.TARGETS))
            options = ["--targets-at", real, "--targets-shown-at", shown]
        super().__init__(zones, octet, options)
        self.store_proxies, self.caller_proxies = [], []
        store = self.store
        for n, host in enumerate(self.hosts, 1):
            self.store_proxies.append(FaultProxy(
                (self.ip(n, self.STORE), 8100), (self.ip(200), 8100)))
            self.store = f"{self.ip(n, self.STORE)}:8100"
            host.write_settings()
            host.callers_ip = self.ip(n, self.CALLERS)
            self.caller_proxies.append(FaultProxy((host.callers_ip, 8001),
                                                  (host.ip, 8001)))
        self.store = store
        targets = len(set(zones)) * self.TARGETS_PER_ZONE if few else 0
        self.target_proxies = [FaultProxy((shown, 8200 + n), (real, 8200 + n))
                               for n in range(targets)]

    def proxies(self):
        return self.store_proxies + self.caller_proxies + self.target_proxies

    def __exit__(self, *args):
        super().__exit__(*args)
        for proxy in self.proxies():
            proxy.stop()


class Faults:
    """One series of faults; several run at a time."""

    def __init__(self, world, seed, end):
        self.world, self.random, self.end = world, random.Random(seed), end
        self.log = []

    def run(self):
        while time.monotonic() < self.end:
            time.sleep(self.random.uniform(0.1, 1.0))
            fault = self.random.choice(
                ["pause", "kill", "term", "hup", "settings", "store", "store",
                 "path", "path", "reset"])
            host = self.random.choice(self.world.hosts)
            self.log.append(f"{fault}:{host.name}")
            getattr(self, fault)(host)

    def pause(self, host):
        with host.lock:
            host.signal(signal.SIGSTOP)
            time.sleep(self.random.uniform(0.1, 2.5))
            host.signal(signal.SIGCONT)

    def kill(self, host):
        with host.lock:
            host.signal(signal.SIGKILL)
            host.wait()
            time.sleep(self.random.uniform(0, 1))
            host.start()

    def term(self, host):
        with host.lock:
            host.signal(signal.SIGTERM)
            if self.random.random() < 0.3:
                host.signal(signal.SIGTERM)
            code = host.wait(15)
            # A run that is stopped before its handler is there has served
            # nobody; it may have been paused until then.
            early = code == -signal.SIGTERM and not host.began()
            if code != 0 and not early:
                host.failed = f"a planned stop gave {code}"
            host.start()

    def hup(self, host):
        with host.lock:
            # Before the handler is there SIGHUP ends a process.
            if host.ready():
                host.signal(signal.SIGHUP)

    def settings(self, host):
        with host.lock:
            host.write_settings(f"limit_excess = {self.random.random():.2f}\n")

    def disturb(self, proxy):
        proxy.mode = self.random.choice(FaultProxy.MODES[1:])
        time.sleep(self.random.uniform(0.2, 3))
        proxy.mode = "pass"

    def store(self, host):
        self.disturb(self.world.store_proxies[self.world.hosts.index(host)])

    def path(self, _):
        """The way to a target, or of a host's callers."""
        self.disturb(self.random.choice(self.world.caller_proxies
                                        + self.world.target_proxies))

    def reset(self, _):
        self.random.choice(self.world.proxies()).reset_all()


def call(caller, world, seed, stop, answers):
    chance = random.Random(seed)
    while not stop.is_set():
        path, method = chance.choice([("/read/1", "GET"), ("/pay/1", "POST")])
        host = chance.choice(world.hosts)
        request_id, status = caller.ask(host, path, method)
        answers.append((request_id, method, status))
        time.sleep(0.005)


def check(answers, arrived):
    """The promises that were broken."""
    counts = {}
    for method, _, request_id in arrived:
        counts[(request_id, method)] = counts.get((request_id, method), 0) + 1
    broken = []
    for request_id, method, status in answers:
        ran = counts.get((request_id, method), 0)
        if method == "POST" and ran > 1:
            broken.append(f"{request_id} ran {ran} times")
        if status == 200 and ran == 0:
            broken.append(f"{request_id} got 200 and never ran")
        if method == "POST" and status in (408, 421, 429, 503) and ran:
            broken.append(f"{request_id} got {status} and ran")
        if status in (400, 401, 403, 404) or isinstance(status, str):
            broken.append(f"{request_id} got {status}")
    return broken


def run_seed(place, seed, seconds, hosts):
    chance = random.Random(seed)
    # Addresses apart from those of other seeds that run beside it.
    world = SoakWorld(1 + place % 90, hosts)
    for host in world.hosts:
        host.lock = threading.Lock()
        host.failed = None
    problems, answers = [], []
    with world:
        stop = threading.Event()
        threads = [threading.Thread(target=call, args=(
            Caller(f"s{seed}c{n}"), world, chance.random(), stop, answers))
            for n in range(3)]
        end = time.monotonic() + seconds
        series = [Faults(world, chance.random(), end) for _ in range(2)]
        faults = [threading.Thread(target=s.run) for s in series]
        for thread in threads + faults:
            thread.start()
        for thread in faults:
            thread.join()
        for proxy in world.proxies():
            proxy.mode = "pass"
        last = Caller(f"s{seed}last")
        try:
            for host in world.hosts:
                World.wait_until(
                    lambda h=host: last.ask(h, "/read/1")[1] == 200, RECOVERY_S)
        except AssertionError:
            problems.append(f"{host.name} does not serve again")
        stop.set()
        for thread in threads:
            thread.join()
        problems += [h.failed for h in world.hosts if h.failed]
        problems += check(answers, world.arrived())
    served = sum(status == 200 for _, _, status in answers)
    faults_log = " ".join(f for s in series for f in s.log)
    if problems:
        kept = pathlib.Path(f"/tmp/applestand-soak-{seed}")
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(world.directory, kept)
        problems.append(f"logs: {kept}; faults: {faults_log}")
    shutil.rmtree(world.directory, ignore_errors=True)
    return seed, len(answers), served, problems


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="")
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--hosts", type=int, default=len(ZONES))
    options = parser.parse_args()
    seeds = []
    if options.regressions and REGRESSIONS.exists():
        seeds += [int(line.split()[0]) for line in
                  REGRESSIONS.read_text().splitlines()
                  if line and not line.startswith("#")]
    if options.seeds:
        first, _, last = options.seeds.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        for seed, asked, served, problems in pool.map(
                run_seed, range(len(seeds)), seeds,
                [options.seconds] * len(seeds),
                [options.hosts] * len(seeds)):
            failed += bool(problems)
            print(f"seed {seed}: {asked} asked, {served} served"
                  + "".join(f"\n  {p}" for p in problems[:8]), flush=True)
    print(f"{len(seeds) - failed} seeds held, {failed} failed")
    return 1 if failed or not seeds else 0


if __name__ == "__main__":
    sys.exit(main())

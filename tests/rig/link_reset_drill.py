"""A drill of links that are reset. Hosts run as real processes, and callers send
them requests that may run once at most. All connections to the targets are reset
together, again and again, and none can be opened for a moment. Targets turn
requests and status checks away when they are full, and repeat responses late.

    python3 tests/rig/link_reset_drill.py --seeds 1-3 [--seconds 20]
        [--callers 90] [--repeat 0.3] [--without-id 0.05]
        [--faults kill,stop,freeze] [--links delay,reset,silence,one-way]
        [--between targets,hosts,store] [--programs PATH,...]
        [--budget-ms 3000] [--max-delay 0.8] [--slots 3] [--repeat-within 0.3]
        [--repeat-refusals] [--again 0.5] [--again-after 0.4]

With --links, links of random hosts are disturbed besides; with --programs, hosts
run these programs in turn, as while a fleet is upgraded. With --again, callers
send a share of the refused requests once more under the same id. With
--repeat-refusals, targets repeat no other responses, and those only when the next
request has arrived on the connection.

A request breaks a promise if it ran although its caller was told that it has not
(REFUSED), if it ran twice (TWICE), if its caller got the response to another one
(MIXED), or if its caller got a response but no line of any host names it, with no
lines dropped (SILENT). Prints one line per seed, and each such request with the
lines of all hosts that name it; exits with 1 if there is any.

The line of a seed also says, whether lines were dropped or not, how many requests
that were told that they have not run are named by no line, and how many such
responses have no RequestRefused or RequestUnread of their own."""

import argparse
import asyncio
import collections
import contextlib
import itertools
import pathlib
import random
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from case import run_seeds
from link_proxy import LinkFaults
from slow_targets import (SlowTarget, exponential, read_body, read_head,
                          write_config)
from soak import claim_octet
from users_platform import BIN, KEY, NOT_RUN, Cluster

ZONES = ["norte-1", "norte-2", "sul-1"] * 2
# Third octets of addresses.
TARGETS, TARGET_PROXIES, HOST_PROXIES, STORE_PROXIES = 3, 4, 5, 6
TARGET_PORT, FLEET_PORT, STORE_PORT = 8200, 8003, 8100
TARGETS_PER_ZONE, QUEUE = 2, 2
MEAN_WORK_S, MAX_WORK_S = 0.15, 0.6
CONNECT_S = 1
# The lines that tell why a request was refused.
REFUSAL_LINE = r" (RequestRefused|RequestUnread) "
RESET_PAUSE_S = (0.3, 2.5)
RESET_S = (0.05, 0.4)
FAULT_PAUSE_S = (1, 4)
FREEZE_S = (0.1, 2)
MAX_PRINTED = 8
# After the last request, so that what still runs is seen.
SETTLE_S = 1.5


class RepeatingTarget(SlowTarget):
    """Treats status checks as it does requests, repeats a share of its responses
    late, and leaves the id out of a share of its refusals."""

    def __init__(self, drill, name, zone):
        super().__init__(name, zone, drill.slots, QUEUE,
                         exponential(drill.rng, MEAN_WORK_S, MAX_WORK_S))
        self.drill, self.writers = drill, set()
        # Responses that are repeated after the next request, by connection.
        self.due = {}
        self.repeated = 0

    async def start(self, ip, store, port=0, shown_ip=None):
        await super().start(ip, store, port, shown_ip)
        self.address = self.server.sockets[0].getsockname()

    async def reset(self, seconds):
        """Resets all connections and refuses new ones for a while."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(seconds)
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)
            self.due.pop(writer, None)

    def respond(self, writer, status, headers, body=b""):
        if status == 503 and self.drill.rng.random() < self.drill.without_id:
            headers = [h for h in headers if not h.startswith("Request-Id")]
        super().respond(writer, status, headers, body)
        if self.drill.rng.random() >= self.drill.repeat:
            return
        if not self.drill.repeat_refusals:
            self.repeat_later(writer, status, headers, body)
        elif status in NOT_RUN:
            self.due[writer] = status, headers, body

    def repeat_later(self, writer, *response):
        asyncio.get_running_loop().call_later(
            self.drill.rng.uniform(0, self.drill.repeat_within), self.repeat,
            writer, *response)

    def repeat(self, writer, status, headers, body):
        if writer in self.writers and not writer.is_closing():
            self.repeated += 1
            super().respond(writer, status, headers, body)

    async def serve_one(self, path, headers, reader, writer):
        if response := self.due.pop(writer, None):
            self.repeat_later(writer, *response)
        if path != "/healthz":
            await super().serve_one(path, headers, reader, writer)
        elif self.free.locked():
            self.respond(writer, 503, ["Not-Run: 1"])
        else:
            self.respond(writer, 200, [])


class Outcome:
    """What a caller was told of a request, at last if it was sent again."""

    def __init__(self, request_id, path, body, host):
        self.request_id, self.path, self.body = request_id, path, body
        self.host = host
        self.status, self.mixed = None, ""
        # Times that it was sent, and that it was told that it has not run.
        self.sent = self.refused = 0


class DrillCaller:
    """Sends requests to random hosts, each on one connection for some time."""

    def __init__(self, drill, n):
        self.drill, self.n, self.count = drill, n, 0
        self.rng = random.Random(f"{drill.seed}/{n}")

    async def send(self, reader, writer, outcome):
        """Returns whether the connection stays open, and the seconds to wait."""
        outcome.sent += 1
        # Without a response nothing is promised, whatever was refused before.
        outcome.status = None
        writer.write(
            f"POST {outcome.path} HTTP/1.1\r\nHost: demo.example\r\n"
            f"Request-Id: {outcome.request_id}\r\n"
            f"Deadline-Ms: {self.drill.budget_ms}\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(outcome.body)}\r\n\r\n".encode() +
            outcome.body)
        line, headers = await read_head(reader)
        answer = await read_body(reader, headers)
        outcome.status = int(line.split(" ")[1])
        outcome.refused += outcome.status in NOT_RUN
        if headers.get("request-id", outcome.request_id) != outcome.request_id \
                or (outcome.status == 200 and
                    answer != b"done " + outcome.request_id.encode()):
            outcome.mixed = f"{line} {headers.get('request-id')} {answer[:40]}"
        wait = float(headers.get("retry-after", "0"))
        return headers.get("connection", "").lower() != "close", wait

    def sends_again(self, outcome):
        return self.drill.again and outcome.status in NOT_RUN and \
            self.rng.random() < self.drill.again

    def next_outcome(self, host):
        self.count += 1
        outcome = Outcome(f"d{self.drill.seed}-{self.n}-{self.count}",
                          f"/pay/{self.count % 40}",
                          b"x" * self.rng.choice((40, 4000)), host)
        self.drill.outcomes.append(outcome)
        return outcome

    async def run(self):
        await asyncio.sleep(self.rng.random())
        while not self.drill.ended:
            host = self.rng.choice(self.drill.cluster.hosts)
            writer, outcome = None, None
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host.callers_ip, 8001), CONNECT_S)
                for _ in range(self.rng.randint(1, 30)):
                    outcome = outcome or self.next_outcome(host)
                    keep, wait = await asyncio.wait_for(
                        self.send(reader, writer, outcome),
                        self.drill.budget_ms / 500)
                    if not keep or self.drill.ended:
                        break
                    wait = min(wait, 0.3) + self.rng.uniform(0, 0.1)
                    if self.sends_again(outcome):
                        wait = self.drill.again_after
                    else:
                        outcome = None
                    await asyncio.sleep(wait)
            except (OSError, ValueError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)
            finally:
                if writer is not None:
                    writer.close()


def make_links(cluster, seed, arguments):
    """Returns the links to disturb, and directs hosts and targets to them. Must
    be called before the hosts are started."""
    links = LinkFaults(seed, arguments.links, cluster.hosts,
                       arguments.max_delay)
    if not arguments.links:
        return links
    if "targets" in arguments.between:
        for n in range(1, 1 + TARGETS_PER_ZONE * len(set(ZONES))):
            links.add("targets", (cluster.ip(n, TARGET_PROXIES), TARGET_PORT),
                      (cluster.ip(n, TARGETS), TARGET_PORT))
    if "hosts" in arguments.between:
        for n, host in enumerate(cluster.hosts, 1):
            host.fleet_ip = cluster.ip(n, HOST_PROXIES)
            links.add("hosts", (host.fleet_ip, FLEET_PORT),
                      (host.ip, FLEET_PORT))
    store = cluster.store
    if "store" in arguments.between:
        cluster.store = f"{cluster.ip(1, STORE_PROXIES)}:{STORE_PORT}"
        links.add("store", (cluster.ip(1, STORE_PROXIES), STORE_PORT),
                  (cluster.ip(200), STORE_PORT))
    for host in cluster.hosts:
        host.write_settings()
    cluster.store = store
    return links


class Drill:
    def __init__(self, cluster, links, seed, arguments):
        self.cluster, self.links, self.seed = cluster, links, seed
        self.seconds, self.faults = arguments.seconds, arguments.faults
        self.callers, self.budget_ms = arguments.callers, arguments.budget_ms
        self.repeat, self.without_id = arguments.repeat, arguments.without_id
        self.repeat_within = arguments.repeat_within
        self.repeat_refusals = arguments.repeat_refusals
        self.slots, self.again = arguments.slots, arguments.again
        self.again_after = arguments.again_after
        self.rng = random.Random(seed)
        self.outcomes, self.ended, self.resets = [], False, 0
        self.injected = collections.Counter()

    async def configure(self):
        await write_config(self.cluster.store, self.budget_ms)
        self.targets = [RepeatingTarget(self, f"i-{zone}-{n}", zone)
                        for zone in sorted(set(ZONES))
                        for n in range(TARGETS_PER_ZONE)]
        for n, target in enumerate(self.targets, 1):
            shown_ip = self.cluster.ip(n, TARGET_PROXIES) \
                if "targets" in self.links.groups else None
            await target.start(self.cluster.ip(n, TARGETS), self.cluster.store,
                               TARGET_PORT, shown_ip)

    async def reset_links(self):
        while not self.ended:
            await asyncio.sleep(self.rng.uniform(*RESET_PAUSE_S))
            self.resets += 1
            seconds = self.rng.uniform(*RESET_S)
            await asyncio.gather(*(t.reset(seconds) for t in self.targets))

    async def disturb_hosts(self):
        while self.faults and not self.ended:
            await asyncio.sleep(self.rng.uniform(*FAULT_PAUSE_S))
            fault = self.rng.choice(self.faults)
            self.injected[fault] += 1
            host = self.rng.choice(self.cluster.hosts)
            if fault == "freeze":
                host.signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(*FREEZE_S))
                host.signal(signal.SIGCONT)
                continue
            host.signal(signal.SIGKILL if fault == "kill" else signal.SIGTERM)
            await asyncio.to_thread(host.wait)
            host.start()

    async def run(self):
        await self.configure()
        await asyncio.sleep(2)
        tasks = [asyncio.ensure_future(DrillCaller(self, n).run())
                 for n in range(self.callers)]
        tasks += [asyncio.ensure_future(self.reset_links()),
                  asyncio.ensure_future(self.disturb_hosts())]
        self.links.begin()
        await asyncio.sleep(self.seconds)
        self.ended = True
        self.links.end()
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_S)
        for target in self.targets:
            target.server.close()

    def count_unexplained(self, log_lines):
        """Returns the number of refused requests that no line names, and of
        refusals without a line of their own. `log_lines` maps ids of requests to
        the lines of the hosts that name them."""
        requests = refusals = 0
        for outcome in self.outcomes:
            lines = log_lines.get(outcome.request_id, [])
            requests += outcome.refused > 0 and not lines
            refusals += max(0, outcome.refused - sum(
                re.search(REFUSAL_LINE, line) is not None for line in lines))
        return requests, refusals

    def find_broken(self, log_lines):
        """Returns the rule, the outcome and the targets of each request that
        broke a promise. `log_lines` maps ids of requests to the lines of the
        hosts that name them; None if lines were dropped."""
        broken = []
        for outcome in self.outcomes:
            ran_at = [t.name for t in self.targets
                      if outcome.request_id in t.begun]
            runs = sum(t.runs[outcome.request_id] for t in self.targets)
            if outcome.mixed:
                broken.append((f"MIXED ({outcome.mixed})", outcome, ran_at))
            if runs > 1:
                broken.append(("TWICE", outcome, ran_at))
            if runs > 0 and outcome.status in NOT_RUN:
                broken.append(("REFUSED", outcome, ran_at))
            if log_lines is not None and outcome.status is not None and \
                    outcome.request_id not in log_lines:
                broken.append(("SILENT", outcome, ran_at))
        # A response without a line is the least of them.
        return sorted(broken, key=lambda case: case[0] == "SILENT")


def read_logs(cluster):
    """Returns the log lines of all hosts, each with the name of its host."""
    return [f"{host.name}: {line}" for host in cluster.hosts
            for line in host.log.read_text(errors="replace").splitlines()]


def group_by_request(lines):
    grouped = collections.defaultdict(list)
    for line in lines:
        if found := re.search(r" request=(\S+) ", line):
            grouped[found[1]].append(line)
    return grouped


def run_seed(seed, arguments):
    with contextlib.ExitStack() as stack:
        octet = stack.enter_context(claim_octet(seed))
        cluster = Cluster(ZONES, octet, ["--targets", "0"])
        for host, program in zip(cluster.hosts,
                                 itertools.cycle(arguments.programs)):
            host.program = program
        links = stack.enter_context(make_links(cluster, seed, arguments))
        stack.enter_context(cluster)
        drill = Drill(cluster, links, seed, arguments)
        asyncio.run(drill.run())
        lines = read_logs(cluster)
        log_lines = group_by_request(lines)

        def count(pattern):
            return sum(re.search(pattern, line) is not None for line in lines)

        def sum_field(name):
            pattern = rf" LinesDropped .*\b{name}=(\d+)"
            return sum(int(found[1]) for line in lines
                       if (found := re.search(pattern, line)))

        dropped = count(" LinesDropped ")
        broken = drill.find_broken(None if dropped else log_lines)
        unnamed, unexplained = drill.count_unexplained(log_lines)
        statuses = collections.Counter(o.status for o in drill.outcomes)
        rules = collections.Counter(rule.split()[0] for rule, _, _ in broken)
        print(f"seed {seed}: {f'broken {dict(rules)}' if broken else 'held'}; "
              f"{len(drill.outcomes)} requests, statuses {dict(statuses)}, "
              f"{drill.resets} resets, faults {dict(drill.injected)}, "
              f"links {dict(links.injected)}, "
              f"{sum(o.sent > 1 for o in drill.outcomes)} sent again, "
              f"{sum(t.repeated for t in drill.targets)} responses repeated, "
              f"{count(' ResponseSkipped ')} skipped, "
              f"{count(' TargetLinksLost ')} times links lost, "
              f"{count(' RequestRelayed ')} relayed, {count(' end=shed ')} turned "
              f"away, {dropped} times log lines dropped "
              f"({sum_field('count')} lines, {sum_field('evidence')} of evidence), "
              f"{sum(o.refused for o in drill.outcomes)} refusals of "
              f"{sum(o.refused > 0 for o in drill.outcomes)} requests, "
              f"{unnamed} requests named by no line, {unexplained} refusals "
              f"without a line of their own", flush=True)
        for rule, outcome, ran_at in broken[:MAX_PRINTED]:
            print(f"  {rule} {outcome.request_id} at {outcome.host.name}, "
                  f"status {outcome.status}, ran at {ran_at}")
            for line in log_lines.get(outcome.request_id, ["no line"]):
                print(f"    {line}", flush=True)
        return not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--callers", type=int, default=90)
    parser.add_argument("--budget-ms", type=int, default=3000,
                        help="time for which callers wait")
    parser.add_argument("--max-delay", type=float, default=0.8,
                        help="seconds by which links delay bytes at most")
    parser.add_argument("--repeat", type=float, default=0.3,
                        help="share of the responses that targets repeat")
    parser.add_argument("--repeat-within", type=float, default=0.3,
                        help="longest time after a response at which it is "
                        "repeated, in seconds")
    parser.add_argument("--repeat-refusals", action="store_true",
                        help="targets repeat refusals only, after the next "
                        "request on the connection")
    parser.add_argument("--without-id", type=float, default=0.0,
                        help="share of the refusals that bear no id")
    parser.add_argument("--slots", type=int, default=3,
                        help="requests that a target runs at a time")
    parser.add_argument("--again", type=float, default=0.0,
                        help="share of the refused requests that callers send "
                        "once more under the same id")
    parser.add_argument("--again-after", type=float, default=0.4,
                        help="seconds until they do so")
    def add_list(option, default, text):
        parser.add_argument(option, default=default, metavar="NAME,...",
                            type=lambda value: value.split(","), help=text)

    add_list("--faults", [],
             "what is done to hosts besides: kill, stop, freeze")
    add_list("--links", [],
             "what is done to links besides: delay, reset, silence, one-way")
    add_list("--between", ["targets", "hosts", "store"],
             "the other ends of the links of hosts that are disturbed")
    add_list("--programs", [BIN / "applestand-node"],
             "the programs that hosts run in turn")
    arguments = parser.parse_args()
    run_seeds(arguments.seeds, lambda seed: run_seed(seed, arguments))


if __name__ == "__main__":
    main()

"""A drill of planned stops. Hosts run as real processes and are told to stop in
turn, while callers with different habits send requests that last for seconds.

    python3 tests/rig/stop_drill.py --seeds 1-3 [--habits keep,chunked]
        [--budget-s 4] [--work-s 0.84]

A request is lost if the host has read it, its connection ends without a whole
response, and it was sent around the stop of that host, as rule LOST of the
users' platform counts it. Prints one line per seed and one per lost request;
exits with 1 if a seed has lost any."""

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from case import run_seeds
from slow_targets import make_targets, read_body, read_head, write_config
from soak import claim_octet
from users_platform import KEY, Cluster

ZONES = ["norte-1", "norte-2", "sul-1"]
TARGETS_PER_ZONE, SLOTS, QUEUE = 2, 5, 15
MAX_WORK_FACTOR = 3.1
CALLERS_PER_HABIT = 12
GRACE_S = 6
# Requests sent from this long before SIGTERM on count.
CONTACT_S = 3
# The response to a request that was sent later than this after SIGTERM, and
# that its target is at work on for long, may be cut.
LATE_S = 3
# A request without a response counts only if its connection ended later than
# this after it was sent, or a target has seen it.
LOST_SLACK_S = 0.2
# How long callers keep the addresses that they know.
ADDRESS_LIFETIME_S = 6
# How long a caller that sends chunks takes for the whole body, and a late
# reader waits before it reads.
CHUNK_TIME_S, READ_DELAY_S = 0.3, 0.5
HABITS = ("keep", "chunked", "reconnect", "early", "half-close", "late-reader")


class Outcome:
    def __init__(self, request_id, habit, host, sent):
        self.request_id, self.habit, self.host = request_id, habit, host
        self.sent, self.ended, self.status = sent, None, None


class DrillCaller:
    """Sends bookings to one host after the other, with one habit."""

    def __init__(self, drill, habit, n):
        self.drill, self.habit, self.n = drill, habit, n
        self.rng = random.Random(f"{drill.seed}/{habit}/{n}")
        self.count, self.addresses, self.known_at = 0, [], -ADDRESS_LIFETIME_S
        self.host, self.connection = None, None

    def next_request(self):
        self.count += 1
        request_id = f"{self.habit}-{self.n}-{self.count}"
        head = (f"POST /pay/{self.count % 40} HTTP/1.1\r\nHost: demo.example\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: {self.drill.budget_s * 1000}\r\n"
                f"Authorization: Bearer {KEY}\r\n")
        return request_id, head

    async def send(self, writer):
        request_id, head = self.next_request()
        body = b"x" * self.rng.choice((40, 4000))
        if self.habit == "chunked":
            writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            half = len(body) // 2
            for part in (body[:half], body[half:]):
                await asyncio.sleep(CHUNK_TIME_S / 2)
                writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            writer.write(b"0\r\n\r\n")
        else:
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode()
                         + body)
        outcome = Outcome(request_id, self.habit, self.host, self.drill.now())
        self.drill.outcomes.append(outcome)
        if self.habit == "half-close":
            writer.write_eof()
        return outcome

    async def receive(self, reader, outcome):
        """Returns whether the connection stays open."""
        try:
            if self.habit == "late-reader":
                await asyncio.sleep(READ_DELAY_S)
            while True:
                line, headers = await read_head(reader)
                if not line.startswith("HTTP/1.1 1"):
                    break
            body = await read_body(reader, headers)
            status = int(line.split(" ")[1])
            if status == 200 and body != b"done " + outcome.request_id.encode():
                status = None
            outcome.status = status
            return headers.get("connection", "").lower() != "close"
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return False
        finally:
            outcome.ended = self.drill.now()

    def choose_host(self):
        now = self.drill.now()
        if now - self.known_at >= ADDRESS_LIFETIME_S:
            self.addresses = [h for h in self.drill.cluster.hosts
                              if h not in self.drill.leaving]
            self.known_at = now
        self.host = self.rng.choice(self.addresses)

    async def run(self):
        await asyncio.sleep(self.rng.random())
        while not self.drill.ended:
            if self.connection is None or self.habit == "reconnect":
                self.close()
                self.choose_host()
                try:
                    self.connection = await asyncio.wait_for(
                        asyncio.open_connection(self.host.callers_ip, 8001), 1)
                except (OSError, asyncio.TimeoutError):
                    self.connection = None
                    self.known_at = -ADDRESS_LIFETIME_S
                    await asyncio.sleep(0.1)
                    continue
            reader, writer = self.connection
            try:
                sent = [await self.send(writer)]
                if self.habit == "early":
                    await asyncio.sleep(0.05)
                    sent.append(await self.send(writer))
                await writer.drain()
            except OSError:
                self.close()
                continue
            stays_open = True
            for outcome in sent:
                stays_open = stays_open and await self.receive(reader, outcome)
                if outcome.ended is None:
                    outcome.ended = self.drill.now()
            if not stays_open or self.habit == "half-close":
                self.close()
            await asyncio.sleep(self.rng.uniform(0, 0.3))
        self.close()

    def close(self):
        if self.connection is not None:
            self.connection[1].close()
        self.connection = None


class Drill:
    def __init__(self, cluster, seed, arguments):
        self.cluster, self.seed = cluster, seed
        self.habits = arguments.habits.split(",")
        self.budget_s, self.work_s = arguments.budget_s, arguments.work_s
        self.rng = random.Random(seed)
        self.outcomes, self.leaving, self.ended = [], set(), False
        # When each host was told to stop, and when its process ended.
        self.stops = collections.defaultdict(list)

    def now(self):
        return asyncio.get_running_loop().time()

    async def configure(self):
        await write_config(self.cluster.store, self.budget_s * 1000)
        self.targets = make_targets(self.rng, ZONES, TARGETS_PER_ZONE, SLOTS,
                                    QUEUE, self.work_s,
                                    self.work_s * MAX_WORK_FACTOR)
        for n, target in enumerate(self.targets, 1):
            await target.start(self.cluster.ip(n, 3), self.cluster.store)

    async def stop_in_turn(self):
        for host in self.rng.sample(self.cluster.hosts,
                                    len(self.cluster.hosts)):
            await asyncio.sleep(self.rng.uniform(1, 2))
            stop = [self.now(), None]
            self.stops[host].append(stop)
            self.leaving.add(host)
            host.signal(signal.SIGTERM)
            while host.process.poll() is None:
                if self.now() > stop[0] + GRACE_S:
                    host.process.kill()
                await asyncio.sleep(0.01)
            stop[1] = self.now()
            host.start()
            while not await asyncio.to_thread(host.ready):
                await asyncio.sleep(0.05)
            self.leaving.discard(host)
        await asyncio.sleep(1)

    async def run(self):
        await self.configure()
        await asyncio.sleep(2)
        callers = [DrillCaller(self, habit, n) for habit in self.habits
                   for n in range(CALLERS_PER_HABIT)]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        await self.stop_in_turn()
        self.ended = True
        await asyncio.gather(*tasks)

    def find_lost(self):
        """Returns (outcome, seconds from SIGTERM to sending and to the end,
        whether a target began it) of each lost request."""
        lost = []
        for outcome in self.outcomes:
            if outcome.status is not None or outcome.ended is None:
                continue
            if outcome.ended - outcome.sent >= self.budget_s:
                continue
            began = any(outcome.request_id in t.begun for t in self.targets)
            took = outcome.ended - outcome.sent
            for stopped, _ in self.stops[outcome.host]:
                sent, ended = outcome.sent - stopped, outcome.ended - stopped
                around = ended >= 0 and sent >= -CONTACT_S and \
                    ended <= GRACE_S + 1
                excused = sent <= LATE_S and ended >= GRACE_S * 5 / 6 and began
                if around and not excused and (began or took > LOST_SLACK_S):
                    lost.append((outcome, sent, ended, began))
        return lost


def run_seed(seed, arguments):
    with claim_octet(seed) as octet, \
            Cluster(ZONES, octet, ["--targets", "0"]) as cluster:
        drill = Drill(cluster, seed, arguments)
        asyncio.run(drill.run())
        lost = drill.find_lost()
        statuses = collections.Counter(o.status for o in drill.outcomes)
        longest = max(end - begin for stops in drill.stops.values()
                      for begin, end in stops)
        verdict = f"{len(lost)} lost" if lost else "held"
        print(f"seed {seed}: {verdict}; {len(drill.outcomes)} requests, "
              f"statuses {dict(statuses)}, longest stop {longest:.2f} s",
              flush=True)
        for outcome, sent, ended, began in lost:
            logged = [line for host in cluster.hosts
                      for line in host.log.read_text(errors="replace").splitlines()
                      if f"request={outcome.request_id} " in line]
            print(f"  lost {outcome.request_id} at {outcome.host.name}, sent "
                  f"{sent:+.2f} s, ended {ended:+.2f} s after SIGTERM, "
                  f"{'begun' if began else 'not begun'} by a target; log: "
                  + ("; ".join(logged) or "no line"), flush=True)
        return not lost


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--habits", default=",".join(HABITS))
    parser.add_argument("--budget-s", type=int, default=4,
                        help="time budget of each request")
    parser.add_argument("--work-s", type=float, default=0.84,
                        help="mean time that targets work on a request")
    arguments = parser.parse_args()
    run_seeds(arguments.seeds, lambda seed: run_seed(seed, arguments))


if __name__ == "__main__":
    main()

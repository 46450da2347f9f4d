"""Stand-ins and helpers for the scripts of the review.

A Deployment runs applestand-node hosts as separate processes, by the command of
the deploy file, each on a loopback address of its own. The platform's store, the
upstreams and the clients run in this process, on loopback addresses too."""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the site file corrimao-sul.toml.
BOUNDS = """
[bounds]
key_withdrawal_ms = 5000
retry_ratio = 0.2
retry_slack = 60
limit_window_s = 5
limit_excess = 0.1
limit_slack = 20
cold_excess = 1.5
cold_slack = 5
stop_grace_s = 6
lookup_ttl_s = 5
"""


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, a line each."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers (names in lower case) of a message;
    None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def response(status, headers, body=b"", reason="x"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: rows with versions, tables `op`, `servers` and the
    system's own. Answers at once, and loses nothing but by restore()."""

    def __init__(self, record):
        self.record, self.version, self.rows = record, 0, {}
        self.changed = asyncio.Condition()
        self.removed = {}
        self.era, self.away, self.writers = 1, False, set()

    def copy(self):
        return self.version, dict(self.rows), dict(self.removed)

    def leave(self):
        """Goes away: ends all connections and takes no new ones."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def restore(self, copy):
        """Comes back from an older copy."""
        self.version, self.rows, self.removed = copy
        self.era += 1
        self.away = False

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port,
                                                 limit=1 << 22)

    async def put(self, table, key, value):
        """Writes a row as the operator or an upstream does."""
        await self.transact([{"table": table, "part": "", "key": key,
                              "value": base64.b64encode(value).decode()}], [])

    async def transact(self, puts, removals):
        async with self.changed:
            self.version += 1
            for row in puts:
                place = (row["table"], row.get("part", ""), row["key"])
                self.rows[place] = dict(row, part=place[1], ver=self.version)
                self.removed.pop(place, None)
            for row in removals:
                place = (row["table"], row.get("part", ""), row["key"])
                if self.rows.pop(place, None) is not None:
                    self.removed[place] = self.version
            self.changed.notify_all()

    def changes(self, table, after):
        rows = [row for place, row in self.rows.items()
                if place[0] == table and row["ver"] > after]
        rows += [{"table": place[0], "part": place[1], "key": place[2],
                  "ver": version, "tombstoned": True}
                 for place, version in self.removed.items()
                 if place[0] == table and version > after]
        return sorted(rows, key=lambda row: row["ver"])

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if (method, url.path) == ("POST", "/v1/rows-tx"):
            call = json.loads(body)
            for wanted in call.get("if_rev", []):
                place = (wanted["table"], wanted.get("part", ""), wanted["key"])
                if self.rows.get(place, {"ver": 0})["ver"] != wanted["ver"]:
                    return 412, {"rows": []}
            if any(row["table"] in ("op", "servers")
                   for row in call["puts"] + call["remove"]):
                return 403, {}
            await self.transact(call["puts"], call["remove"])
            return 200, {}
        if (method, url.path) == ("GET", "/v1/rows-get"):
            first, end = query.get("from", ""), query.get("to")
            rows = [row for place, row in self.rows.items()
                    if place[:2] == (query["table"], query.get("part", ""))
                    and place[2] >= first and (not end or place[2] < end)]
            rows.sort(key=lambda row: row["key"].encode())
            return 200, {"rows": rows[:500], "has_more": len(rows) > 500}
        if (method, url.path) == ("GET", "/v1/rows-feed"):
            after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
            if after > self.version:
                return 410, {}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(
                        lambda: self.changes(query["table"], after)), wait_s)
            except asyncio.TimeoutError:
                pass
            return 200, {"rows": self.changes(query["table"], after)}
        return 404, {}

    async def serve(self, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await reader.readexactly(
                    int(head[1].get("content-length", "0")))
                status, answer = await self.answer(method, target, body)
                answer.update(ver=self.version,
                              now_ms=int(time.monotonic() * 1000))
                writer.write(response(
                    status, [("Content-Type", "application/json"),
                             ("Store-Era", str(self.era))], json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Upstream:
    """An upstream that runs each request for the time that the function `work_s`
    returns for it, `slots` at a time, and queues `queue` more. Drops a request
    whose connection closes.

    Faults: the answer to a request for which `breaks_off` is true ends in the middle
    with its connection. For an answer for which `repeats_answer` is true, a second
    copy arrives where the next answer on the connection is expected. Both get
    the target and the answer."""

    def __init__(self, record, identity, service, zone, work_s, slots=9, queue=27,
                 breaks_off=lambda target, answer: False,
                 repeats_answer=lambda target, answer: False):
        self.record, self.identity, self.service = record, identity, service
        self.zone, self.work_s, self.slots = zone, work_s, slots
        self.running, self.waiting, self.runs = 0, 0, {}
        self.queue, self.slot = queue, asyncio.Semaphore(slots)
        self.breaks_off, self.repeats_answer = breaks_off, repeats_answer
        self.answers = 0
        self.born = int(time.time() * 1000)

    async def start(self, ip, port):
        self.address = f"{ip}:{port}"
        self.server = await asyncio.start_server(self.serve, ip, port,
                                                 limit=1 << 22)

    def row(self):
        return json.dumps({
            "backend": self.service, "addr": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "ready",
            "cold_left_ms": 0, "seq": 1, "born": self.born}).encode()

    def answer(self, status, request_id, body, extra=()):
        headers = [("Instance-Id", self.identity),
                   ("Server-Load", f"{self.running},{self.waiting},{self.slots}"),
                   ("Keep-Alive", "timeout=10")]
        if request_id is not None:
            headers.append(("Request-Id", request_id))
        return response(status, headers + list(extra), body)

    async def serve(self, reader, writer):
        pending = b""
        port = writer.get_extra_info("peername")[1]
        self.record.write(f"{self.identity} accepts connection {port}")
        try:
            while (head := await read_head(reader)) is not None:
                if pending:
                    self.record.write(f"{self.identity} sends a second copy of its "
                                      "last answer on the connection")
                    writer.write(pending)
                    pending = b""
                answer = await self.serve_one(head, reader, port)
                self.answers += 1
                target = head[0].split(" ")[1]
                if self.breaks_off(target, answer):
                    self.record.write(f"{self.identity} breaks the answer to "
                                      f"{head[1].get('request-id')} off")
                    writer.write(answer[:len(answer) // 2])
                    return
                writer.write(answer)
                await writer.drain()
                if self.repeats_answer(target, answer):
                    pending = answer
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, head, reader, port):
        """Returns the answer."""
        line, headers = head
        method, target, _ = line.split(" ")
        await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("request-id")
        if headers.get("expect-instance", self.identity) != self.identity:
            return self.answer(421, request_id, b"", [("Not-Run", "1")])
        name = request_id or f"{method} {target}"
        if self.slot.locked() and self.waiting >= self.queue:
            self.record.write(f"{self.identity} is full and turns {name} away"
                              f" on connection {port}")
            return self.answer(503, request_id, b"", [("Not-Run", "1")])
        self.waiting += 1
        try:
            await self.slot.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            if target == "/healthz":
                await asyncio.sleep(0.006)
                return self.answer(200, request_id, b"")
            self.runs.setdefault(request_id, []).append(time.monotonic())
            self.record.write(f"{self.identity} runs {name} {method} {target}"
                              f" on connection {port}, Deadline-Ms "
                              f"{headers.get('deadline-ms')}")
            work_s = self.work_s(target, headers)
            budget_s = int(headers.get("deadline-ms", "60000")) / 1000
            # Reading sees the connection close; callers send no further request
            # before the answer.
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({closed}, timeout=min(work_s, budget_s))
            if done:
                self.record.write(f"{self.identity} sees the connection of {name}"
                                  " close at work")
                raise ConnectionResetError
            closed.cancel()
            await asyncio.wait({closed})
        finally:
            self.running -= 1
            self.slot.release()
        if work_s > budget_s:
            return self.answer(504, request_id, b"")
        self.record.write(f"{self.identity} has run {name}")
        return self.answer(200, request_id, b"done",
                           [("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")])


class Host:
    """One machine of the system."""

    def __init__(self, deployment, name, zone, ip, ports):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.region = zone.split("-")[0]
        self.ip, self.ports = ip, ports
        self.front = (ip, ports[0])
        self.settings = deployment.folder / f"{name}.toml"
        self.log = deployment.folder / f"{name}.log"
        self.process = None

    def start(self):
        command = self.deployment.command + ["--settings", str(self.settings)]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log,
                                            cwd=ROOT)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


def free_network():
    """Returns the first three bytes of a loopback network in which the ports of
    this rig are free."""
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for n in range(1, 5):
                for port in range(8001, 8006):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{n}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Deployment:
    """A small deployment. Use it as an asynchronous context manager; it ends all
    processes that it has started, by their ids."""

    KEY = "b9wu3fexd9dnn2ctnfzs"
    HOST = "ficu95.example"

    def __init__(self, folder, zones):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program = deploy["roles"]["node"]["run"].split(" ")[0]
        if not (ROOT / program).exists():
            raise CannotRun(f"{program} is not built")
        self.command = [str(ROOT / program)]
        self.net = free_network()
        self.zones = zones
        self.store = Store(self.record)
        self.upstreams = []
        self.hosts = [Host(self, f"edge-{zone}-{n}", zone, f"{self.net}.{n}",
                           [8001, 8002, 8003, 8004, 8005])
                      for n, zone in enumerate(zones, 1)]
        self.upstream_port = 8100

    def write_settings(self, host, store_address=None):
        zones = sorted(set(self.zones))
        ports = [f'"{host.ip}:{port}"' for port in host.ports]
        host.settings.write_text(f"""
[host]
id = "{host.name}"
zone = "{host.zone}"
region = "{host.region}"
cores = 0.2
memory_mb = 260
zones = [{", ".join(f'"{z}={z.split("-")[0]}"' for z in zones)}]

[listen]
callers = {ports[0]}
ready = {ports[1]}
fleet = {ports[2]}
lookup = {ports[3]}
metrics = {ports[4]}

[fleet]
seeds = [{", ".join(f'"{h.ip}:{h.ports[2]}"' for h in self.hosts[:3])}]

[store]
address = "{store_address or f'{self.net}.200:8600'}"
{BOUNDS}""")

    async def __aenter__(self):
        await self.store.start(f"{self.net}.200", 8600)
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        self.record.file.close()
        self.temporary.cleanup()

    async def add_upstream(self, identity, service, zone, work_s, **options):
        upstream = Upstream(self.record, identity, service, zone, work_s, **options)
        self.upstream_port += 1
        await upstream.start(f"{self.net}.201", self.upstream_port)
        await self.store.put("servers", identity, upstream.row())
        self.upstreams.append(upstream)
        return upstream

    async def put_config(self, paths, services, version=1, tenants=None):
        """Writes the desired state; `paths` are the routes of the one host
        name."""
        config = {
            "version": version,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
            "services": [{"name": name, "health_path": "/healthz",
                          "max_conns": 360, "cold_s": 3.0, "cold_per_s": 10.0}
                         for name in services],
            "vhosts": [{"host": self.HOST, "paths": paths}],
            "tenants": tenants if tenants is not None else [
                {"name": "kaje80", "api_keys": [self.KEY], "rate_per_s": 0,
                 "burst": 0}]}
        await self.store.put("op", "config", json.dumps(config).encode())

    async def start_hosts(self):
        for host in self.hosts:
            self.write_settings(host)
            host.start()
        end = time.monotonic() + 20
        while not all([await host.ready() for host in self.hosts]):
            if time.monotonic() > end:
                raise CannotRun("the hosts are not ready after 20 s")
            await asyncio.sleep(0.1)
        # New hosts discover each other and the upstreams within 3 s.
        await asyncio.sleep(4)

    def request(self, request_id, method, path, budget_ms, body=b"",
                extra="", key=KEY):
        length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
        return (f"{method} {path} HTTP/1.1\r\nHost: {self.HOST}\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: {budget_ms}\r\n"
                f"Authorization: Bearer {key}\r\n{length}{extra}\r\n"
                ).encode() + body

    async def send(self, host, request_id, method, path, budget_ms, body=b"",
                   connection=None, key=KEY):
        """Sends one request on a connection of its own, or on `connection`, and
        returns (status, headers, body). The status is "no connection" if none
        was established, "cut" if the connection ended without a complete answer,
        "deadline" if the client's time budget ended first."""
        if connection is None:
            try:
                connection = await asyncio.wait_for(
                    asyncio.open_connection(*host.front, limit=1 << 22), 1)
            except (OSError, asyncio.TimeoutError):
                self.record.write(f"client {request_id}: no connection")
                return "no connection", {}, b""
        reader, writer = connection
        self.record.write(f"client sends {request_id} {method} {path} to "
                          f"{host.name}")
        try:
            writer.write(self.request(request_id, method, path, budget_ms, body,
                                      key=key))
            status, headers, answer = await asyncio.wait_for(
                self.read_answer(reader), budget_ms / 1000)
        except asyncio.TimeoutError:
            status, headers, answer = "deadline", {}, b""
        except (ConnectionError, asyncio.IncompleteReadError):
            status, headers, answer = "cut", {}, b""
        finally:
            writer.close()
        self.record.write(f"client gets {status} for {request_id}, "
                          f"{len(answer)} bytes")
        return status, headers, answer

    async def read_answer(self, reader):
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError
        body = await reader.readexactly(int(head[1].get("content-length", "0")))
        return int(head[0].split(" ")[1]), head[1], body


def route(prefix, kind, service, **more):
    return dict({"name": re.sub(r"\W", "", prefix), "prefix": prefix,
                 "type": kind, "backend": service, "attempts": 2,
                 "timeout_ms": 8000, "goal_ms": 600, "priority": 1,
                 "public": False}, **more)


def run_case(case):
    """Runs the coroutine function `case`, which returns HELD, BROKEN or NOT_RUN.
    Exits with 10 more than that, so that run.sh can tell it from an error of the
    interpreter."""

    async def run():
        loop = asyncio.get_running_loop()
        # Connections that are open at the end are of no interest.
        loop.set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(), 115)

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        code = NOT_RUN
    raise SystemExit(10 + code)


def signal_host(host, number, record):
    record.write(f"{signal.Signals(number).name} to {host.name}")
    host.process.send_signal(number)

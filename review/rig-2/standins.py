"""Stand-ins of the users' platform for the cases of this review: the platform's
store, upstreams, clients and the operator, all on loopback addresses. The nodes
run as separate processes, started with the command of the deploy file.

Times in the record are seconds of the monotonic clock since the run began."""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "applestand-node"
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}

SETTINGS = """[host]
id = "{name}"
zone = "{zone}"
region = "{region}"
cores = 0.2
memory_mb = 260
zones = [{zones}]

[listen]
callers = "{ip}:{front}"
ready = "{ip}:{ready}"
fleet = "{ip}:{control}"
lookup = "{ip}:{directory}"
metrics = "{ip}:{metrics}"

[fleet]
seeds = [{seeds}]

[store]
address = "{store}"
max_row_bytes = 65536

[bounds]
key_withdrawal_ms = 5000
retry_ratio = 0.2
retry_slack = 58
limit_window_s = 5
limit_excess = 0.1
limit_slack = 20
cold_excess = 1.5
cold_slack = {cold_slack}
stop_grace_s = 6
lookup_ttl_s = 5
"""

# Exit statuses of a case; run.sh translates them. Not those that Python itself
# uses for errors.
HELD, BROKEN, NOT_RUN = 10, 11, 12
MAX_SECONDS = 110

# The figures of the bounds in the settings and on the pages.
CONTACT_S = 4.0
DRAIN_S = 2.5


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


class Message:
    """A request or response with its headers, names in lower case."""

    def __init__(self, first_line, headers, body):
        self.first_line, self.headers, self.body = first_line, headers, body

    @property
    def status(self):
        return int(self.first_line.split()[1])


async def read_message(reader, is_response=False):
    """Returns None if the connection ends before a message begins."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("ended within a head") from None
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    if is_response and int(lines[0].split()[1]) < 200:
        return await read_message(reader, True)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def format_response(status, headers=(), body=b"", close=False):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}",
              "Connection: " + ("close" if close else "keep-alive")]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def free_ports(ips, count):
    """Returns ports that are free on all the addresses."""
    ports = []
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


class Store:
    """The platform's metadata store. Each node reaches it at an address of its
    own, so that its calls are known."""

    TABLES_WITHOUT_WRITES = ("op", "servers")

    def __init__(self, record):
        self.record = record
        self.tables, self.version, self.era = {}, 1, 0
        self.copy = None
        # None, "busy" (503) or "silent".
        self.fault = None
        self.changed = asyncio.Condition()
        self.connections = set()
        # The newest version of the servers' table that each node has said it
        # holds.
        self.held = {}

    async def listen(self, node, ip, port):
        return await asyncio.start_server(
            lambda reader, writer: self.serve(node, reader, writer), ip, port)

    async def put(self, table, key, value):
        await self.commit([(table, key, value)])

    async def remove(self, table, key):
        await self.commit([(table, key, None)])

    async def commit(self, writes):
        async with self.changed:
            self.version += 1
            for table, key, value in writes:
                self.tables.setdefault(table, {})[key] = (value, self.version)
            self.changed.notify_all()

    def save_copy(self):
        self.copy = ({t: dict(rows) for t, rows in self.tables.items()},
                     self.version)
        self.record.add(f"store: a copy of version {self.version} is made")

    async def restore(self, away_s):
        """The store is away for a moment and comes back from the copy."""
        self.record.add(f"store: away, version {self.version}")
        self.fault = "busy"
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        async with self.changed:
            tables, self.version = self.copy
            self.tables = {t: dict(rows) for t, rows in tables.items()}
            self.era += 1
            self.fault = None
            self.changed.notify_all()
        self.record.add(f"store: back from the copy, version {self.version}, "
                        f"era {self.era}")

    async def serve(self, node, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if self.fault == "silent":
                    await asyncio.sleep(3600)
                status, body = await self.handle(node, request)
                if self.fault == "silent":
                    await asyncio.sleep(3600)
                writer.write(format_response(
                    status, [("Content-Type", "application/json"),
                             ("Store-Era", self.era)],
                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, node, request):
        method, target, _ = request.first_line.split()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if self.fault == "busy":
            return 503, {}
        if (method, url.path) == ("GET", "/v1/rows-get"):
            return 200, self.get(query)
        if (method, url.path) == ("GET", "/v1/rows-feed"):
            return await self.feed(node, query)
        if (method, url.path) == ("POST", "/v1/rows-tx"):
            return await self.transact(json.loads(request.body))
        return 404, {}

    def stamp(self, body):
        return body | {"ver": self.version,
                       "now_ms": int(time.monotonic() * 1000)}

    @staticmethod
    def row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return row | {"tombstoned": True}
        return row | {"value": base64.b64encode(value).decode()}

    def get(self, query):
        table = query["table"]
        rows = [self.row(table, key, value, version) for key, (value, version)
                in sorted(self.tables.get(table, {}).items())
                if value is not None and key >= query.get("from", "")]
        return self.stamp({"rows": rows[:500], "has_more": len(rows) > 500})

    async def feed(self, node, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        era = self.era
        if table == "servers":
            self.held[node] = (era, after)
        while True:
            if after > self.version or era != self.era:
                return 410, {}
            rows = [self.row(table, key, value, version) for key,
                    (value, version) in self.tables.get(table, {}).items()
                    if version > after]
            left = until - time.monotonic()
            if rows or left <= 0 or self.fault is not None:
                if self.fault == "busy":
                    return 503, {}
                rows.sort(key=lambda row: row["ver"])
                return 200, self.stamp({"rows": rows})
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, body):
        for wanted in body.get("if_rev", []):
            value, version = self.tables.get(wanted["table"], {}).get(
                wanted["key"], (None, 0))
            if wanted["ver"] != (0 if value is None else version):
                return 412, self.stamp({"rows": []})
        writes = [(put["table"], put["key"], base64.b64decode(put["value"]))
                  for put in body.get("puts", [])]
        writes += [(row["table"], row["key"], None)
                   for row in body.get("remove", [])]
        if any(table in self.TABLES_WITHOUT_WRITES for table, _, _ in writes):
            return 403, {}
        await self.commit(writes)
        return 200, self.stamp({})


class Upstream:
    """A server. It runs up to `slots` requests at a time, each for `work_s`,
    and drops a request whose connection closes."""

    QUEUE = 18

    def __init__(self, store, record, name, service, zone, ip, slots, work_s):
        self.store, self.record = store, record
        self.name, self.service, self.zone, self.ip = name, service, zone, ip
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.cold_until = 0.0
        self.leaving = False
        self.waiting = self.running = 0
        self.free = asyncio.Semaphore(slots)
        self.writers = set()
        self.server = None
        self.sequence = 0
        # (time, request id, path) of each request that arrived, and the ids of
        # those that it did not turn away, that ran to their end, or were cut.
        self.arrivals, self.ran = [], []
        self.done, self.cut = set(), set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def cold_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def make_row(self, state="ready"):
        self.sequence += 1
        return json.dumps({
            "backend": self.service, "addr": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state,
            "cold_left_ms": self.cold_left_ms(), "seq": self.sequence,
            "born": self.born}).encode()

    async def register(self):
        await self.store.put("servers", self.name, self.make_row())

    def end(self):
        """The process ends; its connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def headers(self, request):
        headers = [("Server-Load", f"{self.running},{self.waiting},"
                                   f"{self.slots}")]
        if "request-id" in request.headers:
            headers.append(("Request-Id", request.headers["request-id"]))
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                response = await self.handle(request, reader)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader):
        """Returns None if the request's connection ended."""
        expected = request.headers.get("expect-instance")
        if expected is not None and expected != self.name:
            return format_response(421, self.headers(request)
                                   + [("Not-Run", "1")])
        path = request.first_line.split()[1]
        if path == "/healthz":
            headers = [("Instance-Id", self.name)] + self.headers(request)
            if self.cold_left_ms() > 0:
                headers.append(("Cold-Ms", self.cold_left_ms()))
            return format_response(503 if self.leaving else 200, headers)
        request_id = request.headers.get("request-id")
        if request_id is None:
            return format_response(400, [("Not-Run", "1")])
        self.arrivals.append((self.record.now(), request_id, path))
        self.record.add(f"upstream {self.name}: {request_id} {path} arrives"
                        + (" (leaving)" if self.leaving else "")
                        + (f" (cold {self.cold_left_ms()} ms)"
                           if self.cold_left_ms() else ""))
        if self.on_arrival(request_id):
            return None
        if self.waiting >= self.QUEUE:
            return format_response(503, self.headers(request)
                                   + [("Not-Run", "1")])
        gone = asyncio.ensure_future(reader.read(1))
        self.waiting += 1
        self.ran.append(request_id)
        work = asyncio.ensure_future(self.work())
        await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.cut.add(request_id)
            self.record.add(f"upstream {self.name}: {request_id} is cut")
            return None
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        self.done.add(request_id)
        body = f"{self.name} {request_id}".encode()
        return format_response(200, self.headers(request)
                               + [("Server-Stamp", f"{self.name}.stamp")], body)

    def on_arrival(self, request_id):
        """Returns whether the connection is to be dropped. For subclasses."""
        return False

    async def work(self):
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()


class Node:
    def __init__(self, cluster, number, zone, ip):
        self.cluster, self.name = cluster, f"edge-{zone}-{number}"
        self.zone, self.region, self.ip = zone, zone.split("-")[0], ip
        self.settings = cluster.folder / f"{self.name}.toml"
        self.log = cluster.folder / f"{self.name}.log"
        self.process = None
        self.store_port = None

    def start(self):
        ports = self.cluster.ports
        zones = ", ".join(f'"{z}={z.split("-")[0]}"'
                          for z in sorted(self.cluster.zones))
        seeds = ", ".join(f'"{n.ip}:{ports["control"]}"'
                          for n in self.cluster.nodes[:3])
        self.settings.write_text(SETTINGS.format(
            name=self.name, zone=self.zone, region=self.region, ip=self.ip,
            zones=zones, seeds=seeds,
            store=f"{self.cluster.store_ip}:{self.store_port}",
            cold_slack=self.cluster.cold_slack, **ports))
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "--settings", self.settings], stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, cwd=ROOT,
                env={k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                     if k in os.environ})
        self.cluster.record.add(f"node {self.name}: starts, pid "
                                f"{self.process.pid}")

    def send(self, number):
        self.cluster.record.add(f"node {self.name}: gets "
                                f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip, self.cluster.ports["ready"]), 1)
            writer.write(f"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n"
                         f"Connection: close\r\n\r\n".encode())
            response = await asyncio.wait_for(read_message(reader, True), 1)
            writer.close()
            return response is not None and response.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


    async def accepts(self):
        """Returns whether clients can connect."""
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip, self.cluster.ports["front"]), 1)
            writer.close()
            return True
        except (OSError, asyncio.TimeoutError):
            return False


class Sent:
    """One client attempt."""

    def __init__(self, request_id, path, node, at):
        self.id, self.path, self.node, self.at = request_id, path, node, at
        # A status, "closed" (no answer) or "no connection".
        self.result, self.ended_at, self.upstream = None, None, None


class Client:
    """Clients that keep connections open. Each attempt has its own id."""

    def __init__(self, cluster, seed):
        self.cluster, self.random = cluster, random.Random(seed)
        self.idle, self.sent, self.tasks = {}, [], set()

    async def run(self, path, method, per_s, seconds, deadline_ms,
                  nodes=None):
        """Sends requests at random times, `per_s` a second on average."""
        end = time.monotonic() + seconds
        while True:
            await asyncio.sleep(self.random.expovariate(per_s))
            if time.monotonic() > end:
                return
            self.start(path, method, deadline_ms, nodes)

    def start(self, path, method, deadline_ms, nodes=None, key=None):
        node = self.random.choice(nodes or self.cluster.nodes)
        task = asyncio.ensure_future(self.send(
            node, path, method, deadline_ms, key or self.cluster.KEY))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def finish(self):
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    async def send(self, node, path, method, deadline_ms, key):
        record = self.cluster.record
        request_id = f"{self.random.getrandbits(64):016x}"
        sent = Sent(request_id, path, node, record.now())
        self.sent.append(sent)
        pool = self.idle.setdefault(node, [])
        connection = None
        while pool and connection is None:
            reader, writer, since = pool.pop()
            if not reader.at_eof() and time.monotonic() - since < 10:
                connection = reader, writer
            else:
                writer.close()
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(
                    node.ip, self.cluster.ports["front"]), 1)
        except (OSError, asyncio.TimeoutError):
            return self.end(sent, "no connection")
        reader, writer = connection
        body = b"amount=1" if method == "POST" else b""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.cluster.HOST}",
                 f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}",
                 f"Authorization: Bearer {key}",
                 f"Content-Length: {len(body)}"]
        sent.at = record.now()
        record.add(f"client: {request_id} {method} {path} sent to {node.name}")
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            response = await asyncio.wait_for(read_message(reader, True),
                                              deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            response = None
        except asyncio.CancelledError:
            # The client leaves.
            writer.transport.abort()
            self.end(sent, "left")
            raise
        if response is None:
            writer.close()
            return self.end(sent, "closed")
        if response.headers.get("connection", "") == "close":
            writer.close()
        else:
            pool.append((reader, writer, time.monotonic()))
        if response.status == 200:
            words = response.body.decode(errors="replace").split()
            if len(words) != 2 or words[1] != request_id:
                return self.end(sent, "a body that is not its own")
            sent.upstream = words[0]
        return self.end(sent, response.status)

    def end(self, sent, result):
        sent.result, sent.ended_at = result, self.cluster.record.now()
        self.cluster.record.add(f"client: {sent.id} gets {result}")
        return sent


class Cluster:
    """A small deployment. Use as an asynchronous context manager."""

    HOST, KEY = "desk.example", "key-of-the-only-tenant"

    def __init__(self, record, zones=("norte-braga", "norte-vila", "sul-evora"),
                 nodes_in_zone=1, cold_slack=5):
        self.record, self.zones = record, zones
        self.cold_slack = cold_slack
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        self.store_ip = f"{self.net}.200"
        self.upstreams = []
        self.nodes = []
        for zone in zones:
            for number in range(nodes_in_zone):
                self.nodes.append(Node(self, number + 1, zone,
                                       f"{self.net}.{len(self.nodes) + 1}"))
        names = ("front", "ready", "control", "directory", "metrics")
        self.ports = dict(zip(names, free_ports([n.ip for n in self.nodes],
                                                len(names))))
        self.store = Store(record)
        self.config_version = 0
        self.routes, self.tenant = [], {"rate_per_s": 0, "burst": 0}

    def route(self, name, kind, service, timeout_ms, attempts=2):
        return {"name": name, "prefix": f"/{name}/", "type": kind,
                "timeout_ms": timeout_ms, "goal_ms": timeout_ms // 3,
                "priority": 1, "backend": service, "attempts": attempts,
                "public": False, "sticky": False, "home_regions": []}

    async def write_config(self, routes, services, keys=None,
                           cold_per_s=9.0):
        self.config_version += 3
        config = {
            "version": self.config_version,
            "services": [{"name": s, "health_path": "/healthz",
                          "max_conns": 390, "cold_s": 3.0,
                          "cold_per_s": cold_per_s} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "members",
                         "api_keys": [self.KEY] if keys is None else keys,
                         "priority": 1, "home_regions": []} | self.tenant],
            "vhosts": [{"host": self.HOST, "paths": routes}]}
        self.config = json.dumps(config).encode()
        await self.store.put("op", "config", self.config)
        self.record.add(f"operator: version {self.config_version} is confirmed")

    async def add_upstream(self, name, service, zone, slots, work_s,
                           kind=Upstream, registers=True):
        upstream = kind(self.store, self.record, name, service, zone,
                        f"{self.net}.{100 + len(self.upstreams)}", slots,
                        work_s)
        await upstream.start()
        if registers:
            await upstream.register()
        self.upstreams.append(upstream)
        return upstream

    async def __aenter__(self):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is not built")
        self.servers = []
        for node in self.nodes:
            server = await self.store.listen(node, self.store_ip, 0)
            node.store_port = server.sockets[0].getsockname()[1]
            self.servers.append(server)
        return self

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
        end = time.monotonic() + 20
        while not all([await node.ready() and await node.accepts()
                       for node in self.nodes]):
            if time.monotonic() > end:
                raise CannotRun("the nodes do not become ready")
            await asyncio.sleep(0.1)
        self.record.add("all nodes are ready and accept clients")

    async def __aexit__(self, *_):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def run_case(case, record, trouble):
    """Runs the case for a bounded time. A signal to end stops its nodes, too."""
    task = asyncio.ensure_future(case(record, trouble))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, MAX_SECONDS)


def main(case, folder):
    """Runs `case(record, trouble)`, which returns the breaks that it saw as a
    list of texts. Exits with HELD or BROKEN, or otherwise if it couldn't run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {'yes' if trouble else 'no'}")
    try:
        breaks = asyncio.run(run_case(case, record, trouble))
    except (Exception, asyncio.CancelledError) as error:
        record.add(f"the case could not run: {error!r}")
        record.write()
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    for text in breaks:
        record.add(f"BROKEN {text}")
    record.add("the rule was broken" if breaks else "the rule held")
    record.write()
    print("\n".join(breaks[:5]) or "held")
    sys.exit(BROKEN if breaks else HELD)

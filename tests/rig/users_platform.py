"""Starts hosts of applestand-node with a stand-in for the users' platform, as
separate processes on loopback addresses of their own."""

import http.client
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BIN = ROOT / "build" / "bin"
KEY = "demo-key"

SETTINGS = """
[host]
id = "{id}"
zone = "{zone}"
region = "{region}"
cores = 0.2
memory_mb = 260
zones = ["norte-1=norte", "norte-2=norte", "sul-1=sul"]

[listen]
callers = "{ip}:8001"
ready = "{ip}:8002"
fleet = "{ip}:8003"
lookup = "{ip}:8004"
metrics = "{ip}:8005"

[fleet]
seeds = ["{seed}:8003"]

[store]
address = "{store}"

[bounds]
key_withdrawal_ms = 5000
"""


class Host:
    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.region = zone.split("-")[0]
        # Where callers connect, which may be a proxy.
        self.callers_ip = ip
        self.settings = world.directory / f"{name}.toml"
        self.log = world.directory / f"{name}.log"
        self.process = None
        self.write_settings()

    def write_settings(self, extra=""):
        # In one step: a host may be starting and read it just now.
        written = self.settings.with_suffix(".new")
        written.write_text(SETTINGS.format(
            id=self.name, zone=self.zone, region=self.region, ip=self.ip,
            seed=self.world.ip(1), store=self.world.store) + extra)
        written.replace(self.settings)

    def start(self):
        self.log_start = self.log.stat().st_size if self.log.exists() else 0
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [BIN / "applestand-node", "--settings", self.settings],
                stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def wait(self, seconds=10):
        return self.process.wait(seconds)

    def get(self, port, path, timeout=2):
        connection = http.client.HTTPConnection(self.ip, port, timeout=timeout)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        finally:
            connection.close()

    def ready(self):
        try:
            return self.get(8002, "/v1/ready")[0] == 200
        except OSError:
            return False

    def logged(self, text):
        return text in self.log.read_text(errors="replace")

    def began(self):
        """Whether the present run has said that it started."""
        return b"E1001 Started" in self.log.read_bytes()[self.log_start:]


class World:
    """Context manager: the stand-in and its hosts, ended by their ids."""

    def __init__(self, zones, octet=None, standin_options=()):
        self.octet = octet or random.randrange(100, 200)
        self.standin_options = list(standin_options)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="applestand-"))
        self.store = f"{self.ip(200)}:8100"
        self.hosts = [Host(self, f"host-{n}", self.ip(n), zone)
                      for n, zone in enumerate(zones, 1)]
        self.standin = None

    def ip(self, n, net=0):
        return f"127.{self.octet}.{net}.{n}"

    def __enter__(self):
        self.standin = subprocess.Popen(
            [BIN / "applestand-users-platform-standin", "--store", self.store,
             "--zones", ",".join(sorted({h.zone for h in self.hosts}))]
            + self.standin_options,
            stdout=subprocess.PIPE, text=True)
        assert self.standin.stdout.readline() == "ready\n"
        for host in self.hosts:
            host.start()
        self.wait_until(lambda: all(h.ready() for h in self.hosts))
        return self

    def __exit__(self, *_):
        for process in [h.process for h in self.hosts] + [self.standin]:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()

    @staticmethod
    def wait_until(done, seconds=20):
        end = time.monotonic() + seconds
        while not done():
            if time.monotonic() > end:
                raise AssertionError("not reached in time")
            time.sleep(0.05)

    def arrived(self):
        """Ends the stand-in and returns what its targets got."""
        self.standin.send_signal(signal.SIGTERM)
        out, _ = self.standin.communicate(timeout=10)
        return [line.split() for line in out.splitlines()]


class Caller:
    """One caller with a connection of its own, reopened where it ends."""

    def __init__(self, name):
        self.name, self.count, self.connection = name, 0, None

    def ask(self, host, path, method="GET", key=KEY):
        """The status; None where no answer came; -1 where nobody listened."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        headers = {"Host": "demo.example", "Request-Id": request_id,
                   "Deadline-Ms": "1000",
                   "Cookie": f"Affinity-Key={self.count % 20}",
                   "Authorization": f"Bearer {key}"}
        ip = host.callers_ip
        if self.connection is None or self.connection.host != ip:
            self.close()
            self.connection = http.client.HTTPConnection(ip, 8001, timeout=3)
            try:
                self.connection.connect()
            except (OSError, socket.timeout):
                self.close()
                return request_id, -1
        try:
            self.connection.request(method, path, headers=headers,
                                    body=b"x" if method == "POST" else None)
            answer = self.connection.getresponse()
            answer.read()
            if answer.getheader("Connection") == "close":
                self.close()
            if answer.getheader("Request-Id") != request_id:
                return request_id, "another request's answer"
            return request_id, answer.status
        except (OSError, http.client.HTTPException):
            self.close()
            return request_id, None

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

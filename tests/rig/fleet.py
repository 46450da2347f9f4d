"""Starts a fleet of real processes on loopback addresses, for tests."""

import hashlib
import http.client
import json
import os
import signal
import subprocess
import time

BIN = os.path.join(os.path.dirname(__file__), "..", "..", "build", "bin")
TOKEN = "operator-token-for-tests"


def http_call(address, method, path, body=b"", headers=None, timeout=10):
    """Sends one request on a new connection; returns (status, headers,
    body)."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Process:
    """A child process, signalled only by its process id."""

    def __init__(self, name, arguments, log):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.start()

    def start(self):
        binary = os.path.join(BIN, self.arguments[0])
        self.child = subprocess.Popen(
            [binary] + self.arguments[1:], stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()

    def stop(self, timeout=60):
        """Sends SIGTERM and returns the exit code; `timeout` is in seconds."""
        if self.child.poll() is None:
            self.child.terminate()
        return self.child.wait(timeout)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)


class Host:
    """One entry host, which runs three processes: control, lookup and entry."""

    def __init__(self, name, region, zone, ip):
        self.name = name
        self.region = region
        self.zone = zone
        self.ip = ip
        self.lookup_address = f"{ip}:8080"
        self.entry_address = f"{ip}:8081"
        self.api_address = f"{ip}:8084"
        self.processes = {}

    def settings(self, platform, store_region, seeds, extra):
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        return f"""
[host]
id = "{self.name}"
region = "{self.region}"
zone = "{self.zone}"
[platform]
address = "{platform}"
region = "{store_region}"
region_hosts = {extra.get("region_hosts", 4)}
timeout_ms = 500
[lookup]
listen = "{self.lookup_address}"
ttl_s = 2
[entry]
listen = "{self.entry_address}"
rpc = "{self.ip}:8082"
metrics = "{self.ip}:8085"
[control]
rpc = "{self.ip}:8083"
api = "{self.api_address}"
operator_token_sha256 = "{digest}"
seeds = {json.dumps(seeds)}
seat_lease_ms = {extra.get("seat_lease_ms", 120000)}
freshness_limit_ms = 5000
""" + extra.get("more", "").format(ip=self.ip)


class Fleet:
    """A context manager that runs a stand-in for the platform, targets and
    hosts."""

    def __init__(self, regions, directory, octet=1, seats=12, settings=None,
                 target_options=()):
        """`regions` maps a region to (number of hosts, number of targets). The
        first region holds the store. All processes listen in 127.77.`octet`."""
        self.net = f"127.77.{octet}"
        self.directory = directory
        self.regions = list(regions)
        self.extra = settings or {}
        self.platform_address = f"{self.net}.1:7400"
        self.target_options = list(target_options)
        self.seats = seats
        self.served = 0
        self.hosts = []
        self.targets = {}
        self.processes = []
        self.secrets = {}
        os.makedirs(directory, exist_ok=True)
        self.log = open(os.path.join(directory, "log"), "ab")
        number = 10
        for index, (region, (hosts, targets)) in enumerate(regions.items()):
            for n in range(hosts):
                zone = f"{region}-{'ab'[n % 2]}"
                self.hosts.append(
                    Host(f"{region}-{n + 1}", region, zone,
                         f"{self.net}.{number}"))
                number += 1
            self.targets[region] = [
                f"{self.net}.{200 + index}:{9000 + t}" for t in range(targets)]

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *unused):
        self.close()

    def spawn(self, name, arguments):
        process = Process(name, arguments, self.log)
        self.processes.append(process)
        return process

    def start(self):
        self.platform = self.spawn(
            "platform", ["applestand-platform-standin", "--listen",
                         self.platform_address, "--host-list-lag-ms", "2000"])
        self.wait_for(
            lambda: self.is_responding(self.platform_address, "/hosts"),
            "the platform")
        self.target_processes = {}
        for region, addresses in self.targets.items():
            for address in addresses:
                self.target_processes[address] = self.spawn(
                    "target", ["applestand-target-standin", "--listen",
                               address] + self.target_options)
        for host in self.hosts:
            self.start_host(host)
        self.wait_for(lambda: all(
            len(self.status(h)["hosts"]) == len(self.hosts)
            for h in self.hosts), "the hosts to discover each other")

    def start_host(self, host, kinds=("control", "lookup", "entry")):
        path = os.path.join(self.directory, host.name + ".toml")
        seeds = [f"{h.ip}:8083" for h in self.hosts[:3]]
        with open(path, "w") as out:
            out.write(host.settings(self.platform_address, self.regions[0],
                                    seeds, self.extra))
        for kind in kinds:
            host.processes[kind] = self.spawn(
                f"{host.name} {kind}",
                [f"applestand-{kind}", "--settings", path])

    def close(self):
        for process in self.processes:
            try:
                process.resume()
            except ProcessLookupError:
                pass
            process.kill()
        self.log.close()

    @staticmethod
    def is_responding(address, path):
        try:
            return http_call(address, "GET", path, timeout=1)[0] == 200
        except OSError:
            return False

    @staticmethod
    def wait_for(condition, what, timeout=40):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, ValueError, KeyError,
                    http.client.HTTPException):
                pass
            time.sleep(0.05)
        raise AssertionError(f"timed out after {timeout} s waiting for {what}")

    def status(self, host):
        return json.loads(http_call(
            host.api_address, "GET", "/v1/status",
            headers={"Authorization": "Bearer " + TOKEN})[2])

    def ctl(self, *words, host=None, check=True):
        """Runs applestandctl; returns (exit code, parsed JSON output). The
        output is text if it is not JSON."""
        host = host or self.hosts[0]
        result = subprocess.run(
            [os.path.join(BIN, "applestandctl"), *words, "--api",
             host.api_address, "--token", TOKEN, "--output", "json"],
            capture_output=True, text=True, timeout=60)
        if check and result.returncode != 0:
            raise AssertionError(f"applestandctl {words}: {result.returncode} "
                                 f"{result.stdout} {result.stderr}")
        try:
            return result.returncode, json.loads(result.stdout)
        except ValueError:
            return result.returncode, result.stdout + result.stderr

    def add_account(self, name, rate=1000, burst=1000, weight=1):
        self.ctl("account", "put", name, "--rate", str(rate), "--burst",
                 str(burst), "--weight", str(weight))
        self.secrets[name] = self.ctl("key", "give", name)[1]["key"]

    def add_service(self, service, slots=4):
        """Adds the routes /<service> (repeatable), /<service>/pay (at most
        once) and /open/<service>, and makes every target serve them."""
        self.ctl("route", "put", service, "--prefix", f"/{service}",
                 "--service", service, "--repeatable")
        self.ctl("route", "put", service + "-pay", "--prefix",
                 f"/{service}/pay", "--service", service)
        self.ctl("route", "put", service + "-open", "--prefix",
                 f"/open/{service}", "--service", service, "--open",
                 "--repeatable")
        for region, addresses in self.targets.items():
            for n, address in enumerate(addresses):
                self.ctl("target", "put", f"{service}-{region}-{n + 1}",
                         "--service", service, "--region", region, "--zone",
                         f"{region}-{'ab'[n % 2]}", "--address", address,
                         "--slots", str(slots))

    def wait_ready(self, path, account, hosts=None):
        """Waits until each host serves `path` for the account, and adds the
        successful requests to `served`."""
        for host in hosts or self.hosts:
            self.wait_for(
                lambda: self.count_served(
                    self.request(account, "GET", path, host=host)[0]) == 200,
                f"{host.name} to serve {path}")

    def count_served(self, status):
        self.served += status == 200
        return status

    def lookup(self, host=None, client="127.0.0.1", key=None):
        host = host or self.hosts[0]
        path = f"/v1/hosts?client={client}" + (f"&key={key}" if key else "")
        return json.loads(http_call(host.lookup_address, "GET", path)[2])

    def request(self, account, method, path, body=b"", host=None, key=None,
                headers=None, timeout=15):
        host = host or self.hosts[0]
        request_headers = {"Connection": "close"}
        if account:
            request_headers["Authorization"] = "Bearer " + self.secrets[account]
        if key:
            request_headers["Idempotency-Key"] = key
        request_headers.update(headers or {})
        return http_call(host.entry_address, method, path, body,
                         request_headers, timeout)

    def journal(self):
        """Returns all requests processed by the targets that are running."""
        entries = []
        for addresses in self.targets.values():
            for address in addresses:
                try:
                    entries += json.loads(
                        http_call(address, "GET", "/journal")[2])
                except OSError:
                    pass
        return entries

    def set_fault(self, address, **faults):
        status, _, response = http_call(address, "POST", "/faults",
                                        json.dumps(faults).encode())
        assert status == 200, response

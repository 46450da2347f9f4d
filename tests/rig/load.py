"""A closed-loop load generator for tests of a fleet."""

import collections
import http.client
import threading
import time


class Load:
    """A context manager that runs concurrent callers, each of which sends one
    request after the other until the context ends. As real callers do, each
    moves on to the next host if a connection fails or is closed."""

    def __init__(self, fleet, account, path="/orders/stock", callers=4,
                 method="GET", hosts=None, pause=0.005, keys=None):
        self.fleet = fleet
        self.account = account
        self.path = path
        self.method = method
        self.hosts = hosts or fleet.hosts
        self.pause = pause
        self.keys = keys
        self.results = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,))
                        for n in range(callers)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *unused):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, caller):
        number = 0
        connection = None
        host_index = caller
        while not self.stopping.is_set():
            number += 1
            key = self.keys(caller, number) if self.keys else None
            if connection is None:
                address = self.hosts[host_index % len(self.hosts)].entry_address
                connection = http.client.HTTPConnection(address, timeout=20)
            keep_alive = self.send_one(
                connection, f"{self.method}-{caller}-{number}", key)
            if not keep_alive:
                connection.close()
                connection = None
                host_index += 1
            time.sleep(self.pause)
        if connection:
            connection.close()

    def send_one(self, connection, mark, key):
        headers = {"Connection": "keep-alive"}
        if self.account:
            headers["Authorization"] = "Bearer " + self.fleet.secrets[
                self.account]
        if key:
            headers["Idempotency-Key"] = key
        start_time = time.monotonic()
        try:
            connection.request(self.method, f"{self.path}?mark={mark}", b"",
                               headers)
        except OSError:
            self.record(start_time, mark, key, "refused", "no")
            return False
        try:
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            self.record(start_time, mark, key, "cut", "unknown")
            return False
        ran = response.getheader("X-Applestand-Ran", "no")
        self.record(start_time, mark, key, response.status, ran, body)
        closing = (response.getheader("Connection") or "").lower() == "close"
        return not closing

    def record(self, start_time, mark, key, status, ran, body=b""):
        with self.lock:
            self.results.append(Result(start_time, time.monotonic(), mark, key,
                                       status, ran, body))

    def counts(self, since=0.0, until=float("inf")):
        """Counts the results by (status, ran), for requests started between
        `since` and `until`, in seconds of the monotonic clock."""
        with self.lock:
            return collections.Counter(
                (r.status, r.ran) for r in self.results
                if since <= r.start_time <= until)


Result = collections.namedtuple("Result",
                                "start_time end_time mark key status ran body")


def count_executions_by_mark(fleet):
    """Counts how often each mark was processed by the targets that are
    running."""
    counts = collections.Counter()
    for entry in fleet.journal():
        text = entry["path"]
        if "mark=" in text:
            counts[text.split("mark=")[1].split("&")[0]] += 1
    return counts


def check_ran_headers(load, fleet, all_targets_up=True):
    """Fails if a response said that the request did not run but a target ran
    it, or, with all targets still running, if a response said that it ran but
    no target did."""
    ran = count_executions_by_mark(fleet)
    for result in load.results:
        if result.ran == "no":
            assert ran[result.mark] == 0, f"said not run, but ran: {result}"
        if result.ran == "yes" and all_targets_up:
            assert ran[result.mark] >= 1, f"said ran, but did not: {result}"

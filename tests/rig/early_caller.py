"""A caller that writes requests before it has the responses to earlier ones, and
a check that hosts answer what they pass on."""

import http.client
import random
import socket
import time
import typing

from limit_check import boot_time
from users_platform import KEY

MAX_REQUESTS_AT_ONCE = 4
# Time between two requests that are not written at the same moment.
MAX_PAUSE_S = 0.05
TIMEOUT_S = 3
# Connections that a host may close in a run although it has passed one of their
# requests to a target.
MAX_CLOSED = 3


class EarlyRequest(typing.NamedTuple):
    """What a caller was told of a request, as `status` of Caller.send()."""
    request_id: str
    method: str
    status: object
    host: str
    sent: float
    done: float
    # The host closed the connection before the response.
    closed: bool
    # Number of the caller's connection.
    connection: int


class _ResponseStream:
    """Lets the responses of a connection be read one after the other:
    HTTPResponse would close what it reads from, and lose what follows."""

    def __init__(self, connection):
        self._file = connection.makefile("rb")
        self.readline, self.readinto = self._file.readline, self._file.readinto
        self.read, self.flush = self._file.read, self._file.flush

    def makefile(self, _mode):
        return self

    def close(self):
        """Called by HTTPResponse after each response."""

    def end(self):
        self._file.close()

    def read_response(self, method):
        response = http.client.HTTPResponse(self, method=method)
        response.begin()
        return response, response.read()


class EarlyCaller:
    """Sends some requests at a time on one connection, which it keeps until the
    host closes it."""

    def __init__(self, name):
        self.name, self.count = name, 0
        self.rng = random.Random(name)
        self.host, self.connection, self.stream = None, None, None
        # Number of connections opened.
        self.connections = 0

    def send(self, host, requests):
        """Sends `requests`, each as (path, method), and returns an EarlyRequest
        for each that was written."""
        if not self._open(host):
            return []
        at_once = self.rng.random() < 0.5
        written = []
        try:
            for path, method in requests:
                self.count += 1
                request_id = f"{self.name}-{self.count}"
                written.append((request_id, method, boot_time()))
                self.connection.sendall(self._serialize(request_id, path, method))
                if not at_once:
                    time.sleep(self.rng.uniform(0, MAX_PAUSE_S))
        except OSError:
            # The responses to those that the host has read may have arrived.
            pass
        outcomes, closed = [], False
        for request_id, method, sent in written:
            status = None
            if self.connection is not None:
                status, closed = self._receive(request_id, method)
            outcomes.append(EarlyRequest(
                request_id, method, status, host.name, sent, boot_time(),
                closed and status is None, self.connections))
        return outcomes

    def _open(self, host):
        if self.host is not host:
            self.close()
        if self.connection is None:
            try:
                self.connection = socket.create_connection(
                    (host.callers_ip, 8001), TIMEOUT_S)
            except OSError:
                return False
            self.connections += 1
            self.host, self.stream = host, self.open_stream()
        return True

    def open_stream(self):
        """Returns what the responses on the current connection are read from."""
        return _ResponseStream(self.connection)

    def _serialize(self, request_id, path, method):
        body = b"x" if method == "POST" else b""
        return (f"{method} {path} HTTP/1.1\r\nHost: demo.example\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: 1000\r\n"
                f"Cookie: Affinity-Key={self.count % 20}\r\n"
                f"Authorization: Bearer {KEY}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def _receive(self, request_id, method):
        """Returns the status, and whether the host closes the connection: it
        has done so before a response, or the response says that it does."""
        try:
            response, body = self.stream.read_response(method)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            return None, not isinstance(error, socket.timeout)
        closes = response.getheader("Connection") == "close"
        if closes:
            self.close()
        if response.getheader("Request-Id") != request_id:
            return "another request's response", closes
        if response.status == 200 and \
                not body.endswith(f": {request_id}".encode()):
            return "another request's body", closes
        return response.status, closes

    def close(self):
        if self.connection is not None:
            self.stream.end()
            self.connection.close()
        self.connection = None


def run_early_caller(caller, hosts, seed, stop, outcomes):
    """Sends requests to random hosts until `stop` is set."""
    rng = random.Random(seed)
    while not stop.is_set():
        host = rng.choice(hosts)
        for _ in range(rng.randint(1, 3)):
            outcomes += caller.send(host, [
                rng.choice([("/read/1", "GET"), ("/pay/1", "POST")])
                for _ in range(rng.randint(2, MAX_REQUESTS_AT_ONCE))])
            stop.wait(0.05)


def find_closed_without_response(outcomes, requests, disturbances, proxies):
    """Returns a text if hosts closed connections after they had passed a request
    on, and without a response. `proxies` maps the name of each host to that of
    the proxy of its callers."""
    reached = {arrival.request_id for arrival in requests}
    closed = [outcome for outcome in outcomes
              if outcome.closed and outcome.request_id in reached
              and not any(disturbances.near(name, at)
                          for name in (outcome.host, proxies[outcome.host])
                          for at in (outcome.sent, outcome.done))]
    connections = {(outcome.host, outcome.connection) for outcome in closed}
    if len(connections) <= MAX_CLOSED:
        return []
    return [f"LOST: hosts passed on {len(closed)} requests and closed their "
            f"{len(connections)} connections without a response, the first "
            f"{closed[0].request_id} of {closed[0].host}"]

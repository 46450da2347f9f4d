"""A loopback TCP proxy that injects faults into open connections: delay, reset,
and loss of data in one or both directions. After a connection has lost bytes in
one direction, it forwards no more in that direction, because TCP never loses
bytes from the middle of a stream."""

import select
import socket
import threading
import time


class FaultProxy:
    """Forwards connections from `listen` to `target`. `mode`, one of MODES, may
    be changed from any thread at any time and takes effect on open connections.

    pass: forwards all data. delay: waits `delay_s` before forwarding each
    chunk. reset: closes a connection when it next carries data. cut_up,
    cut_down: discards data from the client, or from the target. silent:
    discards data in both directions. refuse: closes new connections at once."""

    MODES = ("pass", "delay", "reset", "cut_up", "cut_down", "silent", "refuse")

    def __init__(self, listen, target):
        self.name = f"{listen[0]}:{listen[1]}"
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.2
        self.server = socket.create_server(listen, backlog=128)
        self.pairs = set()
        self.lock = threading.Lock()
        self.stopped = False
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        self.stopped = True
        self.server.close()
        self.reset_all()

    def reset_all(self):
        """Resets every open connection."""
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                   b"\x01\0\0\0\0\0\0\0")
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def _accept(self):
        while not self.stopped:
            try:
                client, _ = self.server.accept()
            except OSError:
                return
            if self.mode == "refuse":
                client.close()
                continue
            threading.Thread(target=self._serve, args=(client,),
                             daemon=True).start()

    def _serve(self, client):
        try:
            upstream = socket.create_connection(self.target, timeout=2)
        except OSError:
            client.close()
            return
        pair = (client, upstream)
        with self.lock:
            self.pairs.add(pair)
        try:
            self._pump(client, upstream)
        except OSError:
            pass
        finally:
            with self.lock:
                self.pairs.discard(pair)
            for end in pair:
                end.close()

    def _pump(self, client, upstream):
        truncated = set()
        ends = {end.fileno(): end for end in (client, upstream)}
        poll = select.poll()
        for descriptor in ends:
            poll.register(descriptor, select.POLLIN)
        while not self.stopped:
            for descriptor, _ in poll.poll(50):
                end = ends[descriptor]
                data = end.recv(65536)
                if not data:
                    return
                if self.mode == "reset":
                    return
                if self.mode == "delay":
                    time.sleep(self.delay_s)
                if self.mode == "silent" or \
                        (self.mode == "cut_up" and end is client) or \
                        (self.mode == "cut_down" and end is upstream):
                    truncated.add(end)
                if end not in truncated:
                    (upstream if end is client else client).sendall(data)

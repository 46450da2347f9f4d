"""A loopback TCP proxy that injects faults into open connections: delay, reset,
and loss of data in one or both directions. After a connection has lost bytes in
one direction, it forwards no more in that direction, because TCP never loses
bytes from the middle of a stream."""

import contextlib
import os
import select
import socket
import struct
import threading
import time


NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1


def socket_inode(connection):
    """Returns the inode of the local TCP socket at the other end of
    `connection`, or None; "0" if its process has closed it. Asks the kernel for
    one socket (sock_diag), since reading the table of all takes long."""
    peer, own = connection.getpeername(), connection.getsockname()
    request = struct.pack(
        "=IHHII BBBBI 2s2s16s16sI8s",
        72, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0,
        socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF,
        peer[1].to_bytes(2, "big"), own[1].to_bytes(2, "big"),
        socket.inet_aton(peer[0]), socket.inet_aton(own[0]), 0, b"\xff" * 8)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                       NETLINK_SOCK_DIAG) as kernel:
        kernel.send(request)
        reply = kernel.recv(4096)
    if struct.unpack_from("=H", reply, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return None
    # The last field of the message that follows the header of 16 bytes.
    return str(struct.unpack_from("=I", reply, 16 + 68)[0])


def list_sockets(pid):
    """Returns the inodes of the sockets that the process has open."""
    directory = f"/proc/{pid}/fd"
    inodes = set()
    try:
        entries = os.listdir(directory)
    except OSError:
        return inodes
    for entry in entries:
        # Other descriptors may be closed meanwhile.
        with contextlib.suppress(OSError):
            link = os.readlink(f"{directory}/{entry}")
            if link.startswith("socket:["):
                inodes.add(link[len("socket:["):-1])
    return inodes


def process_has_socket(pid, inode):
    return inode in list_sockets(pid)


class SocketOwners:
    """Finds out which process has a socket open. Since it takes a while to read
    the descriptors of all processes, those who ask meanwhile share the next
    reading. Thread-safe."""

    def __init__(self, list_processes):
        """`list_processes` returns the process ids by the processes' names."""
        self.list_processes = list_processes
        self.lock = threading.Lock()
        self.owners = {}
        # Number of readings that have begun.
        self.readings = 0

    def owner_of(self, inode):
        """Returns the name of the process that has the socket open, or None, by
        the result of socket_inode(). Precondition: the socket was opened before
        the call."""
        if inode in (None, "0"):
            return None
        readings = self.readings
        if inode not in self.owners:
            with self.lock:
                # Another one's reading that began after this call will do.
                if self.readings == readings:
                    self.readings += 1
                    self.owners = {
                        found: name
                        for name, pid in self.list_processes().items()
                        for found in list_sockets(pid)}
        return self.owners.get(inode)


class FaultProxy:
    """Forwards connections from `listen` to `target`. `mode`, one of MODES, may
    be changed from any thread at any time and takes effect on open connections.

    pass: forwards all data. delay: waits `delay_s` before forwarding each
    chunk. reset: closes a connection when it next carries data. cut_up,
    cut_down: discards data from the client, or from the target. silent:
    discards data in both directions. refuse: closes new connections at once.

    A mode in `client_modes`, by the name of the client, takes precedence for
    its connections; `client_of` returns that name for an accepted socket.
    refuse_new: resets new connections, forwards all data of open ones.
    silent_and_refuse: resets new connections, discards all data of open ones.
    reset_and_refuse: resets new connections at once and open ones when they
    next carry data."""

    MODES = ("pass", "delay", "reset", "cut_up", "cut_down", "silent", "refuse")

    def __init__(self, listen, target):
        self.name = f"{listen[0]}:{listen[1]}"
        self.target = target
        self.mode = "pass"
        self.client_modes = {}
        self.client_of = lambda _: "client"
        self.delay_s = 0.2
        self.server = socket.create_server(listen, backlog=128)
        self.pairs = set()
        self.lock = threading.Lock()
        self.stopped = False
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        self.stopped = True
        # Closing alone leaves the socket listening as long as _accept waits.
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()
        self.reset_all()

    def reset_all(self):
        """Resets every open connection."""
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for end in pair:
                try:
                    self._reset_on_close(end)
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    @staticmethod
    def _reset_on_close(end):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                       b"\x01\0\0\0\0\0\0\0")

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

    def _name_of(self, client):
        # The table of sockets may lack a row while it changes.
        for _ in range(5):
            name = self.client_of(client)
            if name is not None:
                return name
            time.sleep(0.003)
        return None

    def _serve(self, client):
        # Clients are named only while some are cut, since it takes a while. One
        # that has closed its connection already cannot be named, and is not
        # forwarded then.
        name = self._name_of(client) if self.client_modes else None
        mode = self.client_modes.get(name, "")
        if mode.startswith("refuse") or mode.endswith("refuse") or \
                (name is None and self.client_modes):
            self._reset_on_close(client)
            client.close()
            return
        try:
            upstream = socket.create_connection(self.target, timeout=2)
        except OSError:
            client.close()
            return
        pair = (client, upstream)
        with self.lock:
            self.pairs.add(pair)
        if self.stopped:
            self.reset_all()
        try:
            self._pump(client, upstream, name)
        except OSError:
            pass
        finally:
            with self.lock:
                self.pairs.discard(pair)
            for end in pair:
                end.close()

    def _pump(self, client, upstream, name):
        truncated = set()
        ends = {end.fileno(): end for end in (client, upstream)}
        poll = select.poll()
        for descriptor in ends:
            poll.register(descriptor, select.POLLIN)
        # stop() ends the wait by shutting the connections down.
        while not self.stopped:
            for descriptor, _ in poll.poll():
                end = ends[descriptor]
                if name is None and self.client_modes:
                    name = self._name_of(client)
                data = end.recv(65536)
                if not data:
                    return
                client_mode = self.client_modes.get(name, "pass")
                if self.mode == "reset" or client_mode == "reset_and_refuse":
                    self._reset_on_close(client)
                    return
                if self.mode == "delay":
                    time.sleep(self.delay_s)
                if self.mode == "silent" or \
                        client_mode == "silent_and_refuse" or \
                        (self.mode == "cut_up" and end is client) or \
                        (self.mode == "cut_down" and end is upstream):
                    truncated.add(end)
                if end not in truncated:
                    (upstream if end is client else client).sendall(data)

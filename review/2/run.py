"""Answers that a host has not yet handed to the kernel when it stops are cut: on a
kept connection 2.5 s after SIGTERM, on others when the process exits."""

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
from rig import BROKEN, HELD, TROUBLE, Deployment, route, run_case, signal_host

BUDGET_MS = 8000
BYTES_PER_S = 1_250_000   # a machine's link of 10 Mbit/s
ANSWER_BYTES = 8_000_000
FOLDER = pathlib.Path(__file__).resolve().parent


async def download(deployment, host, request_id, stopped_at):
    """Sends a request and reads its answer as fast as a link of 10 Mbit/s lets
    it."""
    loop = asyncio.get_running_loop()
    record = deployment.record
    link = socket.socket()
    # A slow link has small windows.
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    link.setblocking(False)
    await loop.sock_connect(link, host.front)
    reader, writer = await asyncio.open_connection(sock=link, limit=65536)
    record.write(f"client sends {request_id} to {host.name}")
    writer.write(deployment.request(request_id, "GET", "/scan/1", BUDGET_MS))
    begun, got, head = loop.time(), 0, b""
    try:
        while b"\r\n\r\n" not in head:
            data = await reader.read(4096)
            if not data:
                raise ConnectionResetError
            head += data
        total = len(head.split(b"\r\n\r\n")[0]) + 4 + int(
            head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        got, first = len(head), loop.time()
        while got < total:
            await asyncio.sleep(max(0, first + got / BYTES_PER_S - loop.time()))
            data = await reader.read(25_000)
            if not data:
                raise ConnectionResetError
            got += len(data)
        outcome = "whole"
    except ConnectionError:
        outcome = "cut"
    record.write(f"client's answer to {request_id} is {outcome} after "
                 f"{got} bytes, {loop.time() - begun:.2f} s after it was sent")
    writer.close()
    return outcome, loop.time() - begun


async def case():
    async with Deployment(FOLDER, ["rs-poa", "rs-cxs"]) as deployment:
        record = deployment.record
        await deployment.put_config([route("/scan/", "safe", "agenda")],
                                    ["agenda"])
        answer = bytes(ANSWER_BYTES)
        for n, zone in enumerate(["rs-poa", "rs-cxs"]):
            await deployment.add_upstream(f"i-{n}", "agenda", zone,
                                          lambda *_: 0.1,
                                          body=lambda _: answer)
        await deployment.start_hosts()
        stopping = deployment.hosts[1]
        loop = asyncio.get_running_loop()
        stopped_at = loop.time() + 0.5
        before = [asyncio.ensure_future(download(
            deployment, stopping, f"b{n:015x}", stopped_at)) for n in range(3)]
        await asyncio.sleep(0.5)
        if TROUBLE:
            signal_host(stopping, signal.SIGTERM, record)
        await asyncio.sleep(1.5)
        after = [asyncio.ensure_future(download(
            deployment, stopping, f"a{n:015x}", stopped_at)) for n in range(3)]
        outcomes = await asyncio.gather(*before, *after)
        broken = sum(outcome == "cut" and took < BUDGET_MS / 1000
                     for outcome, took in outcomes)
        print(f"{broken} of {len(outcomes)} answers were cut: {outcomes}")
        return BROKEN if broken else HELD


run_case(case)

"""An upload is broken off 1.3 s after SIGTERM, as its upstream, which is at work on it,
has not read the rest of the body for 1 s. The stopping host answers 502 instead."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
from rig import (BROKEN, GRACE_S, HELD, NOT_RUN, TROUBLE, Deployment, Upstream,
                 read_head, route, run_case, signal_host)

FOLDER = pathlib.Path(__file__).resolve().parent
# The largest upload of photo-upload in corrimao-sul.toml, its time budget, and twice
# the mean of its work.
BODY = bytes(360_000)
BUDGET_MS = 4000
WORK_S = 1.52
UPLOADS = 6


class StreamingUpstream(Upstream):
    """Begins to work on an upload when it has read its head, and reads the rest of a
    long body when most of the work is done."""

    READ_AHEAD_BYTES = 16384

    async def serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while (head := await read_head(reader)) is not None:
                headers = head[1]
                request_id = headers["request-id"]
                self.runs.setdefault(request_id, []).append(loop.time())
                self.record.write(f"{self.identity} begins to work on {request_id}, "
                                  f"Deadline-Ms {headers['deadline-ms']}")
                await asyncio.sleep(WORK_S)
                await reader.readexactly(int(headers["content-length"]))
                self.record.write(f"{self.identity} has run {request_id}")
                writer.write(self.answer(200, request_id, b"stored", [
                    ("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.record.write(f"{self.identity} finds the connection of {request_id} "
                              "closed")
        finally:
            writer.close()


async def case():
    async with Deployment(FOLDER, ["rs-poa", "rs-cxs"]) as deployment:
        record = deployment.record
        await deployment.put_config([route("/photo/", "upload", "fotos")],
                                    ["fotos"])
        upstreams = [await deployment.add_upstream(
            f"i-{n}", "fotos", zone, None, kind=StreamingUpstream)
            for n, zone in enumerate(["rs-poa", "rs-cxs", "rs-poa", "rs-cxs"])]
        await deployment.start_hosts()
        stopping = deployment.hosts[1]
        loop = asyncio.get_running_loop()
        stopped_at = loop.time()
        if TROUBLE:
            signal_host(stopping, signal.SIGTERM, record)

        async def upload(n):
            await asyncio.sleep(0.1 * n)
            status, headers, _ = await deployment.send(
                stopping, f"{n:016x}", "POST", "/photo/1", BUDGET_MS, BODY)
            return f"{n:016x}", status, "server-stamp" in headers, loop.time()

        outcomes = await asyncio.gather(*(upload(n) for n in range(UPLOADS)))
        if not TROUBLE:
            # The rule speaks of planned work only.
            print(f"without SIGTERM: {[status for _, status, *_ in outcomes]}")
            return HELD
        broken = 0
        for request_id, status, stamped, ended in outcomes:
            begun = [u.runs[request_id][0] for u in upstreams
                     if request_id in u.runs]
            if begun and not stamped and ended < begun[0] + WORK_S and (
                    ended < stopped_at + GRACE_S * 5 / 6):
                record.write(f"LOST: {request_id} got {status}, not its upstream's, "
                             f"{ended - begun[0]:.2f} s after the upstream began to "
                             f"work on it")
                broken += 1
        print(f"{broken} of {UPLOADS} uploads were broken off at work after SIGTERM")
        return BROKEN if broken else HELD


run_case(case)

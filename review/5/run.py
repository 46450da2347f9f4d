"""Requests that a stopping host accepts between 3.0 and 3.4 s after SIGTERM, and
that their upstream works at for 2.5 s, are cut when the process exits."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
from rig import BROKEN, HELD, TROUBLE, Deployment, route, run_case, signal_host

# The longest work and the time budget of booking-confirm in corrimao-sul.toml.
WORK_S = 2.52
BUDGET_MS = 4000
FOLDER = pathlib.Path(__file__).resolve().parent


async def case():
    async with Deployment(FOLDER, ["rs-poa", "rs-cxs"]) as deployment:
        record = deployment.record
        await deployment.put_config([route("/book/", "unsafe", "agenda")],
                                    ["agenda"])
        upstreams = [await deployment.add_upstream(
            f"i-{n}", "agenda", zone, lambda *_: WORK_S)
            for n, zone in enumerate(["rs-poa", "rs-cxs", "rs-poa", "rs-cxs"])]
        await deployment.start_hosts()
        stopping = deployment.hosts[1]
        loop = asyncio.get_running_loop()
        stopped_at = loop.time()
        if TROUBLE:
            signal_host(stopping, signal.SIGTERM, record)

        # Clients may keep an answer of the directory for three times its time to
        # live, 6 s here, and open new connections all the while.
        async def client(n):
            await asyncio.sleep(stopped_at + 3.02 + 0.02 * n - loop.time())
            sent = loop.time() - stopped_at
            status, *_ = await deployment.send(
                stopping, f"{n:016x}", "POST", "/book/1", BUDGET_MS, b"x" * 4000)
            return f"{n:016x}", sent, status

        outcomes = await asyncio.gather(*(client(n) for n in range(30)))
        await asyncio.sleep(0.5)
        if not TROUBLE and any(status != 200 for *_, status in outcomes):
            record.write("a request was not served although nothing happened")
        broken = 0
        for request_id, sent, status in outcomes:
            ran = any(request_id in upstream.runs for upstream in upstreams)
            if status == "cut" and ran and sent > 3:
                record.write(f"LOST: {request_id}, sent {sent:.3f} s after SIGTERM"
                             ", was passed on and got no answer")
                broken += 1
        record.write(f"{broken} requests lost; SIGTERM to exit is bounded by "
                     f"grace_s 6")
        print(f"{broken} of {len(outcomes)} requests were passed on and cut")
        return BROKEN if broken else HELD


run_case(case)

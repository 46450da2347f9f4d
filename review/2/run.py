"""After a desired state that takes the last tenant away, every key is accepted."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
from rig import BROKEN, HELD, NOT_RUN, TROUBLE, Deployment, route, run_case

FOLDER = pathlib.Path(__file__).resolve().parent
BUDGET_MS = 4000
REVOKE_S = 5.0


async def case():
    async with Deployment(FOLDER, ["rs-poa", "rs-cxs"]) as deployment:
        record = deployment.record
        paths = [route("/book/", "unsafe", "agenda")]
        first = {"name": "kaje80", "api_keys": [deployment.KEY],
                 "rate_per_s": 0, "burst": 0}
        other = {"name": "lumo12", "api_keys": ["7rk2other"],
                 "rate_per_s": 0, "burst": 0}
        # Without trouble another tenant stays.
        after = [] if TROUBLE else [other]
        await deployment.put_config(paths, ["agenda"], 1, [first] + after)
        upstreams = [await deployment.add_upstream(f"i-{zone}", "agenda", zone,
                                                   lambda *_: 0.01)
                     for zone in ("rs-poa", "rs-cxs")]
        await deployment.start_hosts()
        sent = 0

        async def send(host, key):
            nonlocal sent
            sent += 1
            request_id = f"{sent:016x}"
            record.write(f"the next request has the key {key}")
            status, *_ = await deployment.send(host, request_id, "POST", "/book/1",
                                               BUDGET_MS, b"x", key=key)
            return status, any(request_id in u.runs for u in upstreams)

        allowed = [await send(host, deployment.KEY) for host in deployment.hosts]
        unknown = [await send(host, "neverheld") for host in deployment.hosts]
        if any(status != 200 for status, _ in allowed) or any(
                status != 401 for status, _ in unknown):
            record.write(f"before the change: {allowed}, {unknown}")
            return NOT_RUN
        record.write("the operator takes the tenant kaje80 away; "
                     f"{len(after)} tenants are left")
        await deployment.put_config(paths, ["agenda"], 3, after)
        await asyncio.sleep(REVOKE_S + 0.5)
        withdrawn = [await send(host, deployment.KEY) for host in deployment.hosts]
        unknown = [await send(host, "neverheld") for host in deployment.hosts]
        record.write(f"withdrawn key: {withdrawn}; key that was never held: "
                     f"{unknown} (status, has run)")
        print(f"withdrawn key: {withdrawn}; key never held: {unknown}")
        return BROKEN if any(ran for _, ran in withdrawn + unknown) else HELD


run_case(case)

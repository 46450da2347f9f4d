"""A new upstream joins, cold, a deployment of 18 machines that are all in touch."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
from cold import ColdUpstream, check_failback  # noqa: E402
from standins import CONTACT_S, Client, Cluster, main  # noqa: E402

ZONES = ("norte-braga", "norte-vila", "norte-porto")
# As on the page of pwani-registers, grown.
COLD_PER_S, COLD_SLACK = 3.1, 8


async def case(record, trouble):
    async with Cluster(record, ZONES, nodes_in_zone=6,
                       cold_slack=COLD_SLACK) as cluster:
        await cluster.write_config(
            [cluster.route("pay", "unsafe", "desk", 2000)], ["desk"],
            cold_per_s=COLD_PER_S)
        for number, zone in enumerate(ZONES[1:], 1):
            await cluster.add_upstream(f"i-{number}", "desk", zone, 9, 0.03)
        await cluster.start_nodes()
        client = Client(cluster, seed=1)
        load = asyncio.ensure_future(
            client.run("/pay/1", "POST", 300, CONTACT_S + 8, 2000))
        await asyncio.sleep(CONTACT_S + 3)

        upstream = await cluster.add_upstream(
            "i-0", "desk", ZONES[0], 9, 0.03, kind=ColdUpstream,
            registers=False)
        if trouble:
            upstream.become_cold(COLD_PER_S * 1.5 + COLD_SLACK)
            await upstream.register()
            record.add(f"store: confirms {upstream.name}, which is cold")
        await load
        await client.finish()
        record.add("requests that got no answer of an upstream: "
                   f"{sum(1 for a in client.sent if a.result == 502)}")
        return check_failback(upstream, client) if trouble else []


main(case, HERE)

"""Runs two regions on loopback and shows how requests are routed through
them."""

import collections
import json
import os
import sys
import tempfile

from fleet import Fleet


def show(title, value=""):
    print(f"== {title}" + (f": {value}" if value != "" else ""), flush=True)


def main():
    directory = tempfile.mkdtemp(prefix="applestand-demo-")
    show("logs and settings of this run", directory)
    regions = {"norte": (3, 3), "centro": (2, 2)}
    with Fleet(regions, directory, octet=1) as fleet:
        show("hosts", ", ".join(
            f"{h.name} at {h.entry_address}" for h in fleet.hosts))
        fleet.add_account("lenha", rate=200, burst=100)
        fleet.add_service("orders")
        key = fleet.secrets["lenha"]
        fleet.wait_ready("/orders/stock", "lenha")

        lookup_result = fleet.lookup(key=key.split(".")[0])
        show("look-up", json.dumps(lookup_result))
        by_address = {h.entry_address: h for h in fleet.hosts}
        first = by_address[lookup_result["hosts"][0]["address"]]

        counts = collections.Counter()
        for number in range(20):
            status, headers, body = fleet.request(
                "lenha", "GET", f"/orders/stock?n={number}", host=first)
            ran = headers.get("X-Applestand-Ran")
            counts[(status, ran)] += 1
            if number == 0:
                show("one request", f"caller -> {headers['X-Applestand-Host']}"
                     f" -> {body.decode()}")
        show("20 reads, by status and whether they ran", dict(counts))

        status, headers, body = fleet.request(
            "lenha", "POST", "/orders/pay", b"load 7", first, key="pay-7")
        show("payment", f"{status} ran={headers['X-Applestand-Ran']}")
        fleet.wait_for(
            lambda: fleet.ctl("claim", "show", "lenha", "pay-7")[1]["state"] ==
            "done", "the payment's outcome to be recorded")
        second = fleet.hosts[-1]
        status, headers, again = fleet.request(
            "lenha", "POST", "/orders/pay", b"load 7", second, key="pay-7")
        show("the same payment sent to another host",
             f"{status} ran={headers['X-Applestand-Ran']} "
             f"same response={again == body}")
        status, _, body = fleet.request(
            "lenha", "POST", "/orders/pay", b"load 8", second, key="pay-7")
        show("its idempotency key with another body",
             f"{status} {body.decode()}")
        code, claim = fleet.ctl("claim", "show", "lenha", "pay-7")
        show("operator's view of the payment", json.dumps(claim))

        ran = [e for e in fleet.journal() if e["path"].startswith("/orders")]
        payments = [e for e in ran if e["path"] == "/orders/pay"]
        leaked = [e for e in ran if key.split(".")[1] in json.dumps(e)]
        reads = [e for e in ran if "n=" in json.dumps(e)]
        show("counted at the targets",
             f"{len(reads)} reads, {len(payments)} payment, "
             f"{len(leaked)} with the caller's key")
        consistent = (len(payments) == 1 and not leaked and len(reads) == 20 and
                      counts == {(200, "yes"): 20})
        show("every request answered and accounted for", consistent)
        return 0 if consistent else 1


if __name__ == "__main__":
    sys.exit(main())

"""An upstream's bytes that are no response, as a byte in the name of a header was
spoilt, are passed on to the client as a success."""

import asyncio
import pathlib
import re
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
from rig import BROKEN, HELD, NOT_RUN, TROUBLE, Deployment, route, run_case

FOLDER = pathlib.Path(__file__).resolve().parent
BUDGET_MS = 4000
REQUESTS = 400
# The largest dose of the site file: share of the answers that are spoilt.
MAX_ANSWERS = 0.03
# RFC 9112, 5: field-line = field-name ":" OWS field-value OWS, with a token as
# name.
FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*")


async def read_strictly(reader):
    """Returns the status, the headers' lines that are none in the protocol, and
    the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = head[:-4].split(b"\r\n")
    length = [line for line in lines if line.lower().startswith(b"content-length:")]
    body = await reader.readexactly(int(length[0].split(b":")[1]))
    wrong = [line for line in lines if not FIELD_LINE.fullmatch(line)]
    return int(status_line.split(b" ")[1]), wrong, body


async def case():
    async with Deployment(FOLDER, ["rs-poa"]) as deployment:
        record = deployment.record
        await deployment.put_config([route("/visit/", "safe", "agenda"),
                                     route("/book/", "unsafe", "agenda")],
                                    ["agenda"])
        spoilt = []

        def spoils(_, answer):
            if (not TROUBLE or b"Server-Stamp" not in answer or
                    len(spoilt) + 1 > MAX_ANSWERS * faulty.answers):
                return answer
            byte = [b" ", b"\x01", b"\xc3"][len(spoilt) % 3]
            spoilt.append(byte)
            record.write(f"i-faulty sends {byte!r} in place of a byte of a header's "
                         "name")
            return answer.replace(b"Server-Load", b"Server" + byte + b"Load")

        faulty = await deployment.add_upstream("i-faulty", "agenda", "rs-poa",
                                               lambda *_: 0.005, spoils=spoils)
        await deployment.add_upstream("i-sound", "agenda", "rs-poa",
                                      lambda *_: 0.005)
        await deployment.start_hosts()
        host, = deployment.hosts
        broken = 0
        for n in range(REQUESTS):
            method, path = [("GET", "/visit/1"), ("POST", "/book/1")][n % 2]
            reader, writer = await asyncio.open_connection(*host.front)
            request_id = f"{n:016x}"
            writer.write(deployment.request(request_id, method, path, BUDGET_MS,
                                            b"x" if method == "POST" else b""))
            status, wrong, _ = await asyncio.wait_for(read_strictly(reader),
                                                      BUDGET_MS / 1000)
            writer.close()
            record.write(f"client gets {status} for {request_id} {method}")
            if wrong and 200 <= status < 300:
                broken += 1
                record.write(f"MIXED: the answer to {request_id} is none in the "
                             f"protocol: {wrong}")
        text = (f"{len(spoilt)} of {faulty.answers} answers of 1 of 2 upstreams "
                f"were spoilt; clients got {broken} successes that are no answer in "
                "the protocol")
        record.write(text)
        print(text)
        if TROUBLE and not spoilt:
            return NOT_RUN
        return BROKEN if broken else HELD


run_case(case)

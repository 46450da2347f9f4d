"""An upstream that becomes cold and crashes at too many requests, and the check
of the rule FAILBACK."""

import time

from standins import Upstream

COLD_S = 3.0


class ColdUpstream(Upstream):
    """Crashes when it gets more than `bound` requests in a second while cold."""

    bound = 0.0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.cold_from, self.crashed = None, False

    def become_cold(self, bound):
        self.bound = bound
        self.cold_from = self.record.now()
        self.cold_until = time.monotonic() + COLD_S
        self.record.add(f"upstream {self.name}: is cold for {COLD_S} s")

    def on_arrival(self, request_id):
        if self.cold_left_ms() == 0:
            return False
        now = self.record.now()
        recent = sum(1 for at, _, _ in self.arrivals
                     if at > max(now - 1, self.cold_from))
        if recent > self.bound and not self.crashed:
            self.crashed = True
            self.record.add(f"upstream {self.name}: crashes, {recent} requests "
                            "in a second while cold")
            self.end()
        return self.crashed


def check_failback(upstream, client):
    """Returns the breaks of FAILBACK. Counted are requests that were sent and
    arrived inside the same second while the upstream was cold."""
    sent_at = {attempt.id: attempt.at for attempt in client.sent}
    counted = [(sent_at[request_id], at) for at, request_id, _
               in upstream.arrivals
               if upstream.cold_from <= sent_at[request_id]
               and at <= upstream.cold_from + COLD_S]
    breaks, worst = [], upstream.bound
    for start, _ in counted:
        number = sum(1 for sent, arrived in counted
                     if sent >= start and arrived <= start + 1)
        if number > worst:
            worst = number
            breaks = [f"FAILBACK: {number} requests in the second from "
                      f"{start:.3f} s on, {start - upstream.cold_from:.3f} s "
                      f"after the upstream became cold; allowed are "
                      f"{upstream.bound:g}"]
    return breaks

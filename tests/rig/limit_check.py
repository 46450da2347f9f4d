"""Checks that targets which name a limit on their requests got no more than it
allows, from all hosts that had been told and were not disturbed."""

import bisect
import collections
import contextlib
import time

# The bound on a limited target in any window, and the time after which it
# holds: from the naming of the limit, the first response of the target to a
# host, and the last disturbance of a host or target.
WINDOW_S = 4
EXCESS_FACTOR = 1.5
SLACK = 5
CONTACT_S = 3
TOLD_S = 0.5


class Disturbances:
    """Records when something was disturbed. Thread-safe."""

    def __init__(self):
        self.spans = collections.defaultdict(list)

    def add(self, name, since, until):
        self.spans[name].append((since, until))

    @contextlib.contextmanager
    def during(self, name):
        since = boot_time()
        try:
            yield
        finally:
            self.add(name, since, boot_time())

    def overlap(self, name, since, until):
        """Returns whether `name` was disturbed at some moment of the time."""
        return any(began <= until and since <= ended
                   for began, ended in self.spans[name])

    def near(self, name, at):
        """Returns whether `name` was disturbed within CONTACT_S before
        `at`."""
        return any(since <= at <= until + CONTACT_S
                   for since, until in self.spans[name])


def boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def slot_of(target):
    """Returns the part of a target's id that stays when it restarts."""
    return target.rpartition("-")[0]


def limit_spans(limits, end):
    """Returns for each target the spans of time in which it named limits, each
    as (since, until, [(time, limit), ...])."""
    spans = collections.defaultdict(list)
    for target, rate, at in limits:
        current = spans[target][-1] if spans[target] else None
        is_open = current is not None and current[1] == end
        if rate is None:
            if is_open:
                spans[target][-1] = (current[0], at, current[2])
        elif is_open:
            current[2].append((at, rate))
        else:
            spans[target].append((at, end, [(at, rate)]))
    return spans


def largest_limit(changes, since, until):
    """Returns the largest limit in force at some moment of the time."""
    before = [rate for at, rate in changes if at <= since][-1:]
    return max(before + [rate for at, rate in changes if since < at <= until])


def find_exceeded_limits(requests, limits, calls, disturbances, end):
    """Returns one text for each limit that was exceeded. `calls` maps the id of
    a request to (host, status, time of sending, time of the response)."""
    arrivals = collections.defaultdict(list)
    for arrival in requests:
        if arrival.request_id in calls:
            arrivals[arrival.target].append((arrival.at, arrival.request_id))
    problems = []
    for target, spans in limit_spans(limits, end).items():
        for since, until, changes in spans:
            told, counted = {}, []
            for at, request_id in sorted(arrivals[target]):
                host, status, _, done = calls[request_id]
                if not since <= at <= until:
                    continue
                if host not in told and status == 200:
                    told[host] = done
                if (at >= since + CONTACT_S and host in told
                        and at >= told[host] + TOLD_S
                        and not disturbances.near(host, at)
                        and not disturbances.near(slot_of(target), at)):
                    counted.append(at)
            for first, at in enumerate(counted):
                count = bisect.bisect_left(counted, at + WINDOW_S) - first
                rate = largest_limit(changes, at - CONTACT_S, at + WINDOW_S)
                allowed = rate * WINDOW_S * EXCESS_FACTOR + SLACK
                if count > allowed:
                    problems.append(
                        f"{target} with a limit of {rate:.1f}/s got {count} "
                        f"requests in {WINDOW_S} s, {allowed:.0f} allowed")
                    break
    return problems

"""Checks by what callers and targets saw that each host applied the operator's
versions of the configuration in time, and none that is older than one that it
had applied before."""

import dataclasses
import random

from limit_check import boot_time

# Maximum time from the confirmation of a version until requests are handled by
# it, for hosts and a store that were not disturbed for CONTACT_S before.
APPLY_S = 2.5
CONTACT_S = 3
# A request sent this long after the response to another one, at the same
# incarnation of a host, is not handled by an older version than that one.
REVERT_SLACK_S = 0.25
# Maximum time for which a withdrawn key is accepted, whatever the disturbances.
REVOKE_S = 5
# Without faults, requests to added routes are served at least this many times
# as often as those to routes of every version, if there are MIN_PROBES.
ADDED_SERVED_RATIO = 1 / 4
MIN_PROBES = 20

ADDED_ROUTES = [f"added-{n}" for n in range(4)]
SPARE_KEYS = [f"spare-key-{n}" for n in range(3)]


@dataclasses.dataclass
class Probe:
    """A request whose outcome shows which versions were in effect."""
    host: str
    incarnation: int
    route: str
    key: str
    sent: float
    status: int = None
    done: float = 0
    # Services of the targets that it reached.
    services: set = dataclasses.field(default_factory=set)


def run_probes(caller, cluster, seed, default_key, stop, probes):
    """Sends requests whose outcome depends on the version to random hosts until
    `stop` is set. Adds them to `probes`, by id."""
    rng = random.Random(seed)
    while not stop.is_set():
        host = rng.choice(cluster.hosts)
        route, key = rng.choice([
            ("moving", default_key), (rng.choice(ADDED_ROUTES), default_key),
            ("read", rng.choice(SPARE_KEYS)), ("read", default_key)])
        incarnation = host.process.pid
        probe = Probe(host.name, incarnation, route, key, boot_time())
        request_id, probe.status = caller.send(host, f"/{route}/1", key=key)
        probe.done = boot_time()
        if host.process.pid == incarnation:
            probes[request_id] = probe
        stop.wait(0.004)


def is_consistent(config, probe):
    """Returns whether a host may have handled the request by this version, or
    None if the outcome does not tell."""
    if not probe.services and probe.status not in (401, 404):
        return None
    if probe.route == "moving":
        service = config.moving_service
    else:
        service = "desk" if probe.route in config.routes | {"read"} else None
    if service is None:
        return probe.status == 404 and not probe.services
    if probe.key not in config.keys:
        return probe.status == 401 and not probe.services
    return probe.services == {service}


class ConfigJudge:
    """Judges the probes of one run. `disturbed` returns whether a host or the
    store was disturbed within CONTACT_S before a time."""

    def __init__(self, history, probes, disturbed):
        self.history, self.disturbed = history, disturbed
        # The first confirmation of each version; later ones write it again.
        configs = {}
        for write in history.configs:
            configs.setdefault(write.version, write)
        self.configs = [configs[version] for version in sorted(configs)]
        for arrival in history.requests:
            if arrival.request_id in probes and arrival.ran:
                probes[arrival.request_id].services.add(
                    "counter" if "-counter-" in arrival.target else "desk")
        self.probes = sorted(probes.values(), key=lambda probe: probe.done)

    def newest_at(self, time):
        """Returns the index of the newest version confirmed by then."""
        return sum(config.confirmed_at <= time for config in self.configs) - 1

    def consistent(self, probe, oldest):
        """Returns the first version from `oldest` on, as an index, by which the
        request may have been handled, or None."""
        for index in range(max(oldest, 0), self.newest_at(probe.done) + 1):
            if is_consistent(self.configs[index], probe):
                return index
        return None

    def describe(self, probe):
        outcome = f"status {probe.status}"
        if probe.services:
            outcome += f" at {'+'.join(sorted(probe.services))}"
        return (f"{probe.host} handled /{probe.route}/ with {probe.key}, sent at "
                f"{probe.sent:.3f}: {outcome}")

    def find_late(self):
        problems = []
        for probe in self.probes:
            if is_consistent(self.configs[0], probe) is None or \
                    self.disturbed(probe.host, probe.sent):
                continue
            bound = self.newest_at(probe.sent - APPLY_S)
            if self.consistent(probe, bound) is None:
                config = self.configs[bound]
                problems.append(
                    f"{self.describe(probe)}; version {config.version} was "
                    f"confirmed at {config.confirmed_at:.3f}")
        return problems

    def find_reverted(self):
        problems, floors = [], {}
        for probe in self.probes:
            if is_consistent(self.configs[0], probe) is None:
                continue
            key = probe.host, probe.incarnation
            seen = floors.setdefault(key, [])
            floor = max((index for done, index in seen
                         if done + REVERT_SLACK_S < probe.sent), default=0)
            index = self.consistent(probe, floor)
            if index is not None:
                seen.append((probe.done, index))
            elif self.consistent(probe, 0) is not None:
                problems.append(
                    f"{self.describe(probe)}; it had applied version "
                    f"{self.configs[floor].version} before")
        return problems

    def find_revoked(self):
        problems = []
        for probe in self.probes:
            if not probe.services:
                continue
            first = max(self.newest_at(probe.sent - REVOKE_S), 0)
            last = self.newest_at(probe.done)
            if all(probe.key not in config.keys
                   for config in self.configs[first:last + 1]):
                problems.append(f"{self.describe(probe)}; the key was withdrawn")
        return problems

    def find_unserved(self, calm_since):
        """Finds out whether hosts do not serve routes that were added."""
        added, fixed = [], []
        for probe in self.probes:
            if probe.sent < calm_since:
                continue
            first = max(self.newest_at(probe.sent - APPLY_S), 0)
            configs = self.configs[first:self.newest_at(probe.done) + 1]
            if probe.route in ADDED_ROUTES and all(
                    probe.route in config.routes for config in configs):
                added.append(probe.status == 200)
            elif probe.route == "read" and probe.key not in SPARE_KEYS:
                fixed.append(probe.status == 200)
        if len(added) < MIN_PROBES or not fixed:
            return []
        if sum(added) / len(added) < ADDED_SERVED_RATIO * sum(fixed) / len(fixed):
            return [f"{sum(added)} of {len(added)} requests to added routes "
                    f"were served, {sum(fixed)} of {len(fixed)} to others"]
        return []


def find_config_violations(history, probes, disturbances, store_proxies,
                           calm_since):
    """Returns one text for each violation. `store_proxies` maps the name of a
    host to that of its proxy to the store."""
    for start, end in history.restores + history.store_faults:
        disturbances.add("store", start, end)

    def disturbed(host, at):
        return any(disturbances.near(name, at)
                   for name in (host, store_proxies[host], "store"))

    judge = ConfigJudge(history, probes, disturbed)
    return (judge.find_late() + judge.find_reverted() + judge.find_revoked() +
            judge.find_unserved(calm_since + CONTACT_S))

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lib/freshness/confirmation_tracker.h"
#include "lib/freshness/freshness.h"
#include "tests/support/property.h"

namespace applestand {

namespace {

constexpr size_t kStoreHosts = 4;
constexpr size_t kHosts = 6;

// Simulates hosts whose requests, responses and reads may be delayed for any
// time, lost because a host restarts, or cut off, and a store that only some of
// the hosts can reach. Each change represents the revocation of a key.
class Fleet {
 public:
  Fleet() {
    for (size_t i = 0; i < kHosts; ++i) {
      m_hosts.push_back(NewHost(i));
    }
    // All hosts have read the head once. Afterwards only the first host can
    // reach the store.
    for (Host& host : m_hosts) {
      host.freshness.OnHeadRead(m_clock.Now(), m_head);
      host.freshness.OnHeadReadFailed();
      host.reaches_store = host.id == m_hosts.front().id;
    }
  }

  void Step(uint32_t number) {
    Host& host = m_hosts[(number >> 4) % kHosts];
    const size_t other = (number >> 8) % kHosts;
    const uint32_t pick = number >> 12;
    switch (number % 10) {
      case 0:
        m_clock.Advance(std::chrono::milliseconds(pick % 2500));
        break;
      case 1:
        if (pick % 4 == 0) {
          host.reaches_store = !host.reaches_store;
        }
        break;
      case 2:
        ReadHead(host);
        break;
      case 3:
        Write(host);
        break;
      case 4:
        Push(host, other);
        Push(host, (other + 1) % kHosts);
        break;
      case 5:
        SendRequestToAll(host);
        break;
      case 6:
        if (pick % 4 == 0) {
          Restart((number >> 4) % kHosts, pick % 8 == 0);
        }
        break;
      default:
        for (uint32_t i = 0; i < 1 + pick % 16; ++i) {
          Deliver(pick >> (i % 8));
        }
    }
    Check();
  }

  size_t served_while_attesting() const { return m_served_while_attesting; }

 private:
  struct Host {
    HostId id;
    bool in_store_region = false;
    bool reaches_store = true;
    uint64_t incarnation = 0;
    ConfigVersion applied;
    Freshness freshness{Freshness::Options()};
  };

  Host NewHost(size_t index) {
    Host host;
    host.incarnation = ++m_last_incarnation;
    host.id = HostId("h" + std::to_string(index));
    host.in_store_region = index < kStoreHosts;
    Freshness::Options options;
    options.quorum = ComputeQuorumSizes(kStoreHosts);
    host.freshness = Freshness(options);
    return host;
  }

  // Runs `task` on the host in a later step, unless the host has been restarted
  // by then.
  void Later(const Host& host, std::function<void(Host&)> task) {
    const auto index = static_cast<size_t>(&host - m_hosts.data());
    const uint64_t incarnation = host.incarnation;
    m_tasks.push_back([this, index, incarnation, task = std::move(task)] {
      if (m_hosts[index].incarnation == incarnation) {
        task(m_hosts[index]);
      }
    });
  }

  void Deliver(uint32_t pick) {
    if (!m_tasks.empty()) {
      const size_t index = pick % std::min<size_t>(4, m_tasks.size());
      const auto it = m_tasks.begin() + static_cast<ptrdiff_t>(index);
      const auto task = *it;
      m_tasks.erase(it);
      task();
    }
  }

  void ReadHead(Host& host) {
    const TimePoint requested_at = m_clock.Now();
    const bool ok = host.reaches_store;
    const ConfigVersion head = m_head;
    Later(host, [requested_at, ok, head](Host& reader) {
      if (!ok) {
        reader.freshness.OnHeadReadFailed();
        return;
      }
      reader.freshness.OnHeadRead(requested_at, head);
      reader.applied = std::max(reader.applied, head);
    });
  }

  void Write(Host& host) {
    if (host.reaches_store) {
      m_head = m_head.Next();
      host.applied = m_head;
      m_confirmations.OnApplied(host.id, host.in_store_region, m_head);
    }
  }

  void Push(Host& from, size_t to) {
    const ConfigVersion version = from.applied;
    Later(m_hosts[to], [this, version](Host& receiver) {
      receiver.applied = std::max(receiver.applied, version);
      const Host confirmer = receiver;
      m_tasks.push_back([this, confirmer] {
        if (m_removed.count(confirmer.id) == 0) {
          m_confirmations.OnApplied(confirmer.id, confirmer.in_store_region,
                                    confirmer.applied);
        }
      });
    });
  }

  void SendRequestToAll(Host& requester) {
    for (size_t other = 0; other < kHosts; ++other) {
      SendRequest(requester, other);
    }
  }

  void SendRequest(Host& requester, size_t other) {
    const TimePoint requested_at = m_clock.Now();
    const auto requester_index =
        static_cast<size_t>(&requester - m_hosts.data());
    const uint64_t requester_incarnation = requester.incarnation;
    Later(m_hosts[other], [=](Host& responder) {
      const auto evidence = responder.freshness.Evidence(m_clock.Now());
      const auto attestation =
          responder.in_store_region
              ? responder.freshness.MakeAttestation(responder.applied)
              : std::nullopt;
      const HostId id = responder.id;
      const ConfigVersion version = responder.applied;
      Host& receiver = m_hosts[requester_index];
      if (receiver.incarnation != requester_incarnation) {
        return;
      }
      Later(receiver, [=](Host& host) {
        if (evidence) {
          host.freshness.OnPeerEvidence(requested_at, *evidence);
        }
        if (attestation) {
          host.freshness.OnAttestation(requested_at, id, *attestation);
        }
        if (host.freshness.IsBehind(host.applied)) {
          host.applied = std::max(host.applied, version);
        }
      });
    });
  }

  // Restarts a host under the same id, or replaces it by a host with a new id.
  void Restart(size_t index, bool replace) {
    const HostId old = m_hosts[index].id;
    m_hosts[index] = NewHost(index);
    if (!replace) {
      m_hosts[index].id = old;
      return;
    }
    m_hosts[index].id = HostId("h" + std::to_string(m_last_incarnation));
    m_removed.insert(old);
    m_confirmations.Forget(old);
  }

  void Check() {
    const TimePoint now = m_clock.Now();
    for (ConfigVersion v = m_accepted.Next();
         v <= m_head && m_confirmations.IsAccepted(v); v = v.Next()) {
      m_accepted = v;
      m_accepted_at[v] = now;
    }
    for (const Host& host : m_hosts) {
      const auto& max_age = host.freshness.options().max_evidence_age;
      if (!host.freshness.MayServe(now, host.applied)) {
        continue;
      }
      if (host.freshness.MakeAttestation(host.applied)) {
        ++m_served_while_attesting;
      }
      for (const auto& [version, at] : m_accepted_at) {
        RC_ASSERT(host.applied >= version || now - at <= max_age);
      }
    }
  }

  ManualClock m_clock;
  std::vector<Host> m_hosts;
  uint64_t m_last_incarnation = 0;
  ConfigVersion m_head;
  ConfigVersion m_accepted;
  std::map<ConfigVersion, TimePoint> m_accepted_at;
  std::set<HostId> m_removed;
  ConfirmationTracker m_confirmations{ComputeQuorumSizes(kStoreHosts)};
  std::vector<std::function<void()>> m_tasks;
  size_t m_served_while_attesting = 0;
};

}  // namespace

TEST_CASE("a revoked key is not served longer than the maximum evidence age") {
  size_t served_while_attesting = 0;
  CheckScripts(3, 4000, 400, [&](const Script& script) {
    Fleet fleet;
    for (const uint32_t number : script) {
      fleet.Step(number);
    }
    served_while_attesting += fleet.served_while_attesting();
  });
  CHECK(served_while_attesting > 0);
}

}  // namespace applestand

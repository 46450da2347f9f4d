#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lib/freshness/confirmations.h"
#include "lib/freshness/freshness.h"
#include "tests/support/property.h"

namespace applestand {

namespace {

constexpr size_t kStoreHosts = 4;
constexpr size_t kHosts = 6;

// Hosts whose every question, answer and read may be held up for any time,
// lost to a restart, or cut off; and a store that some reach while others do
// not. Each change stands for the withdrawal of a key.
class Fleet {
 public:
  Fleet() {
    for (size_t i = 0; i < kHosts; ++i) {
      m_hosts.push_back(NewHost(i));
    }
    // The store fails all but one host, which has read the head before.
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
        AskAll(host);
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

  size_t vouched_serves() const { return m_vouched_serves; }

 private:
  struct Host {
    HostId id;
    bool near_store = false;
    bool reaches_store = true;
    uint64_t run = 0;
    ConfigVersion applied;
    Freshness freshness{Freshness::Options()};
  };

  Host NewHost(size_t index) {
    Host host;
    host.run = ++m_runs;
    host.id = HostId("h" + std::to_string(index));
    host.near_store = index < kStoreHosts;
    Freshness::Options options;
    options.quorum = QuorumFor(kStoreHosts);
    host.freshness = Freshness(options);
    return host;
  }

  // Runs `task` on the host at a later step, unless its run has ended.
  void Later(const Host& host, std::function<void(Host&)> task) {
    const auto index = static_cast<size_t>(&host - m_hosts.data());
    const uint64_t run = host.run;
    m_tasks.push_back([this, index, run, task = std::move(task)] {
      if (m_hosts[index].run == run) {
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
    const TimePoint asked = m_clock.Now();
    const bool ok = host.reaches_store;
    const ConfigVersion head = m_head;
    Later(host, [asked, ok, head](Host& reader) {
      if (!ok) {
        reader.freshness.OnHeadReadFailed();
        return;
      }
      reader.freshness.OnHeadRead(asked, head);
      reader.applied = std::max(reader.applied, head);
    });
  }

  void Write(Host& host) {
    if (host.reaches_store) {
      m_head = m_head.Next();
      host.applied = m_head;
      m_confirmations.OnApplied(host.id, host.near_store, m_head);
    }
  }

  void Push(Host& from, size_t to) {
    const ConfigVersion version = from.applied;
    Later(m_hosts[to], [this, version](Host& receiver) {
      receiver.applied = std::max(receiver.applied, version);
      const Host confirmer = receiver;
      m_tasks.push_back([this, confirmer] {
        if (m_gone.count(confirmer.id) == 0) {
          m_confirmations.OnApplied(confirmer.id, confirmer.near_store,
                                    confirmer.applied);
        }
      });
    });
  }

  void AskAll(Host& asker) {
    for (size_t other = 0; other < kHosts; ++other) {
      Ask(asker, other);
    }
  }

  void Ask(Host& asker, size_t other) {
    const TimePoint asked = m_clock.Now();
    const auto asker_index = static_cast<size_t>(&asker - m_hosts.data());
    const uint64_t asker_run = asker.run;
    Later(m_hosts[other], [=](Host& answerer) {
      const auto evidence = answerer.freshness.Evidence(m_clock.Now());
      const auto vouch = answerer.near_store
                             ? answerer.freshness.MakeVouch(answerer.applied)
                             : std::nullopt;
      const HostId id = answerer.id;
      const ConfigVersion version = answerer.applied;
      Host& receiver = m_hosts[asker_index];
      if (receiver.run != asker_run) {
        return;
      }
      Later(receiver, [=](Host& host) {
        if (evidence) {
          host.freshness.OnPeerEvidence(asked, *evidence);
        }
        if (vouch) {
          host.freshness.OnVouch(asked, id, *vouch);
        }
        if (host.freshness.IsBehind(host.applied)) {
          host.applied = std::max(host.applied, version);
        }
      });
    });
  }

  // A restart under the same name, or a replacement under a new one.
  void Restart(size_t index, bool replace) {
    const HostId old = m_hosts[index].id;
    m_hosts[index] = NewHost(index);
    if (!replace) {
      m_hosts[index].id = old;
      return;
    }
    m_hosts[index].id = HostId("h" + std::to_string(m_runs));
    m_gone.insert(old);
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
      const auto& limit = host.freshness.options().limit;
      if (!host.freshness.MayServe(now, host.applied)) {
        continue;
      }
      if (host.freshness.MakeVouch(host.applied)) {
        ++m_vouched_serves;
      }
      for (const auto& [version, at] : m_accepted_at) {
        RC_ASSERT(host.applied >= version || now - at <= limit);
      }
    }
  }

  ManualClock m_clock;
  std::vector<Host> m_hosts;
  uint64_t m_runs = 0;
  ConfigVersion m_head;
  ConfigVersion m_accepted;
  std::map<ConfigVersion, TimePoint> m_accepted_at;
  std::set<HostId> m_gone;
  Confirmations m_confirmations{QuorumFor(kStoreHosts)};
  std::vector<std::function<void()>> m_tasks;
  size_t m_vouched_serves = 0;
};

}  // namespace

TEST_CASE("a withdrawn key is served no longer than the limit") {
  size_t vouched_serves = 0;
  CheckScripts(3, 4000, 400, [&](const Script& script) {
    Fleet fleet;
    for (const uint32_t number : script) {
      fleet.Step(number);
    }
    vouched_serves += fleet.vouched_serves();
  });
  CHECK(vouched_serves > 0);
}

}  // namespace applestand

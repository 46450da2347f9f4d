#ifndef LIB_MEMBERSHIP_FLEET_FOR_TEST_H_
#define LIB_MEMBERSHIP_FLEET_FOR_TEST_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lib/membership/membership.h"

namespace applestand {

/// Membership objects of several hosts, for tests, with messages that arrive
/// at once unless held. Single-threaded.
class Fleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(500);

  static HostId NameOf(size_t host) {
    return HostId("h" + std::to_string(1000 + host));
  }

  explicit Fleet(size_t hosts, Membership::Options options = {})
      : m_options(options) {
    for (size_t i = 0; i < hosts; ++i) {
      m_hosts.push_back(New(i));
    }
  }

  Membership& operator[](size_t host) { return m_hosts[host]; }
  TimePoint Now() const { return m_clock.Now(); }
  size_t size() const { return m_hosts.size(); }

  void Freeze(size_t host) { m_frozen.insert(host); }
  void Thaw(size_t host) { m_frozen.erase(host); }
  void Cut(size_t a, size_t b) { m_cuts.insert(std::minmax(a, b)); }
  void Mend() { m_cuts.clear(); }

  /// Starts a new run of `host`, which knows nothing.
  void Restart(size_t host) { m_hosts[host] = New(host); }

  void ListTo(size_t host, const std::vector<ListedHost>& listed) {
    m_hosts[host].OnHostList(listed, Now());
  }
  std::vector<ListedHost> ListAll() const {
    std::vector<ListedHost> listed;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      listed.push_back({NameOf(i), NameOf(i).value(), false});
    }
    return listed;
  }

  /// Lets time pass and every host that is not frozen beat.
  void Run(Duration time) {
    for (Duration passed{}; passed < time; passed += kStep) {
      m_clock.Advance(kStep);
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        Beat(i);
      }
    }
  }

  void Beat(size_t host) {
    if (m_frozen.count(host) != 0) {
      return;
    }
    for (auto& out : m_hosts[host].DueHeartbeats(Now())) {
      const size_t to = std::stoul(out.address.substr(1)) - 1000;
      ++heartbeats;
      if (hold) {
        m_held.emplace_back(std::make_pair(host, to), out.heartbeat);
      } else {
        Deliver(host, to, out.heartbeat);
      }
    }
  }

  /// Delivers a held heartbeat; keeps it for a repeat where `keep`.
  void DeliverHeld(size_t pick, bool keep) {
    if (m_held.empty()) {
      return;
    }
    const auto it =
        m_held.begin() + static_cast<ptrdiff_t>(pick % m_held.size());
    const auto [ends, heartbeat] = *it;
    if (!keep) {
      m_held.erase(it);
    }
    Deliver(ends.first, ends.second, heartbeat);
  }
  void DeliverAllHeld() {
    while (!m_held.empty()) {
      DeliverHeld(0, false);
    }
  }

  void Advance(Duration time) { m_clock.Advance(time); }

  size_t heartbeats = 0;
  bool hold = false;

 private:
  Membership New(size_t host) {
    HostRecord record;
    record.host = NameOf(host);
    record.incarnation = Incarnation(++m_runs);
    record.zone = ZoneId("z" + std::to_string(host % 2));
    record.control_address = record.host.value();
    return Membership(m_options, record);
  }

  void Deliver(size_t from, size_t to, const Heartbeat& heartbeat) {
    const bool is_cut = m_cuts.count(std::minmax(from, to)) != 0;
    if (is_cut || m_frozen.count(to) != 0 || m_frozen.count(from) != 0) {
      return;
    }
    const HeartbeatReply reply = m_hosts[to].OnHeartbeat(heartbeat, Now());
    m_hosts[from].OnHeartbeatReply(reply, Now());
  }

  Membership::Options m_options;
  ManualClock m_clock;
  std::vector<Membership> m_hosts;
  uint64_t m_runs = 0;
  std::set<size_t> m_frozen;
  std::set<std::pair<size_t, size_t>> m_cuts;
  std::vector<std::pair<std::pair<size_t, size_t>, Heartbeat>> m_held;
};

}  // namespace applestand

#endif  // LIB_MEMBERSHIP_FLEET_FOR_TEST_H_

#ifndef LIB_MEMBERSHIP_SIMULATED_FLEET_H_
#define LIB_MEMBERSHIP_SIMULATED_FLEET_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lib/membership/membership.h"

namespace applestand {

/// Simulates several hosts with a Membership object each, for tests. Messages
/// are delivered immediately unless `hold` is set. Single-threaded.
class SimulatedFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(500);

  static HostId HostName(size_t host) {
    return HostId("h" + std::to_string(1000 + host));
  }

  explicit SimulatedFleet(size_t hosts, Membership::Options options = {})
      : m_options(options) {
    for (size_t i = 0; i < hosts; ++i) {
      m_hosts.push_back(MakeHost(i));
    }
  }

  Membership& operator[](size_t host) { return m_hosts[host]; }
  TimePoint Now() const { return m_clock.Now(); }
  size_t size() const { return m_hosts.size(); }

  void Freeze(size_t host) { m_frozen.insert(host); }
  void Thaw(size_t host) { m_frozen.erase(host); }
  void Disconnect(size_t a, size_t b) {
    m_disconnected.insert(std::minmax(a, b));
  }
  void ReconnectAll() { m_disconnected.clear(); }

  /// Replaces `host` by a new incarnation without any state.
  void Restart(size_t host) { m_hosts[host] = MakeHost(host); }

  void SetHostList(size_t host, const std::vector<ListedHost>& listed) {
    m_hosts[host].OnHostList(listed, Now());
  }
  std::vector<ListedHost> AllHosts() const {
    std::vector<ListedHost> listed;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      listed.push_back({HostName(i), HostName(i).value(), false});
    }
    return listed;
  }

  /// Advances the time in steps of kStep; every host that is not frozen sends
  /// its due heartbeats at each step.
  void Run(Duration time) {
    for (Duration passed{}; passed < time; passed += kStep) {
      m_clock.Advance(kStep);
      for (size_t i = 0; i < m_hosts.size(); ++i) {
        SendHeartbeats(i);
      }
    }
  }

  void SendHeartbeats(size_t host) {
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

  /// Delivers a held heartbeat. If `keep` is true, the heartbeat stays held, so
  /// that it can be delivered again.
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

  /// Number of heartbeats sent.
  size_t heartbeats = 0;
  /// If true, heartbeats are held until DeliverHeld or DeliverAllHeld.
  bool hold = false;

 private:
  Membership MakeHost(size_t host) {
    HostRecord record;
    record.host = HostName(host);
    record.incarnation = Incarnation(++m_last_incarnation);
    record.zone = ZoneId("z" + std::to_string(host % 2));
    record.control_address = record.host.value();
    return Membership(m_options, record);
  }

  void Deliver(size_t from, size_t to, const Heartbeat& heartbeat) {
    const bool is_disconnected =
        m_disconnected.count(std::minmax(from, to)) != 0;
    if (is_disconnected || m_frozen.count(to) != 0 ||
        m_frozen.count(from) != 0) {
      return;
    }
    const HeartbeatReply reply = m_hosts[to].OnHeartbeat(heartbeat, Now());
    m_hosts[from].OnHeartbeatReply(reply, Now());
  }

  Membership::Options m_options;
  ManualClock m_clock;
  std::vector<Membership> m_hosts;
  uint64_t m_last_incarnation = 0;
  std::set<size_t> m_frozen;
  std::set<std::pair<size_t, size_t>> m_disconnected;
  std::vector<std::pair<std::pair<size_t, size_t>, Heartbeat>> m_held;
};

}  // namespace applestand

#endif  // LIB_MEMBERSHIP_SIMULATED_FLEET_H_

#ifndef LIB_NET_UNSENT_DATA_LIMIT_H_
#define LIB_NET_UNSENT_DATA_LIMIT_H_

#include <cstddef>
#include <functional>
#include <string>

#include "lib/net/reactor.h"

namespace applestand {

/// Bounds the memory of data that waits to be written on the connections of a
/// reactor. Beyond that, connections end whose peers have not read for the
/// longest time. Not thread-safe.
class UnsentDataLimit {
 public:
  /// A connection that was ended.
  struct Cut {
    std::string peer;
    size_t bytes = 0;
    /// Memory of the data of all connections.
    size_t total_bytes = 0;
    Duration stalled{};
  };

  /// `on_cut` is called before a connection ends. `reactor` must outlive this
  /// object.
  UnsentDataLimit(Reactor& reactor,
                  size_t max_bytes,
                  std::function<void(const Cut&)> on_cut);

 private:
  void Enforce();

  Reactor& m_reactor;
  const size_t m_max_bytes;
  const std::function<void(const Cut&)> m_on_cut;
  // Runs while there is data.
  Timer m_observe_timer;
  bool m_observing = false;
  WaitHook m_wait_hook;
};

}  // namespace applestand

#endif  // LIB_NET_UNSENT_DATA_LIMIT_H_

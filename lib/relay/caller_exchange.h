#ifndef LIB_RELAY_CALLER_EXCHANGE_H_
#define LIB_RELAY_CALLER_EXCHANGE_H_

#include <functional>
#include <string>

#include "lib/base/clock.h"
#include "lib/http/message.h"

namespace applestand {

/// How the connection of a caller ended before its request had a response.
struct Disconnection {
  /// This process has closed the connection because it ends.
  bool process_ends = false;
  /// What ended the connection: "closed" if the caller has closed it in an
  /// orderly way, otherwise the error.
  std::string cause;
};

/// A request of a caller, and the right to respond to it once. Not thread-safe.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  virtual const HttpRequest& request() const = 0;
  /// Returns when the request had been received completely.
  virtual TimePoint arrival_time() const = 0;
  /// Returns whether a response can no longer be delivered.
  virtual bool caller_disconnected() const = 0;
  /// Sends the response at once. Only the first call has an effect; none has if
  /// the caller has disconnected.
  virtual void Respond(const HttpResponse& response) = 0;
  /// Sets a function that runs once if the caller disconnects before it got a
  /// response. Replaces a function set earlier.
  virtual void OnCallerDisconnect(
      std::function<void(const Disconnection&)> on_caller_disconnect) = 0;
};

}  // namespace applestand

#endif  // LIB_RELAY_CALLER_EXCHANGE_H_

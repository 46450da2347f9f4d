#include "lib/rpc/client.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include <algorithm>
#include <list>
#include <utility>
#include <vector>

#include "lib/rpc/frame.h"

namespace applestand {

namespace {

constexpr nng_duration kReconnectMinMs = 20;
constexpr nng_duration kReconnectMaxMs = 500;
constexpr size_t kMaxMessageBytes = size_t{64} << 20;

class Connection;

/// Runs one call at a time on one transport context. Reused after the call
/// ends.
class CallSlot {
 public:
  CallSlot(nng_socket socket, Connection& connection)
      : m_connection(connection) {
    RequireOk(nng_ctx_open(&m_context, socket), "open context");
    // The transport must not send a call again by itself, because a call is
    // sent at most once.
    RequireOk(nng_ctx_set_ms(m_context, NNG_OPT_REQ_RESENDTIME,
                             NNG_DURATION_INFINITE),
              "switch resending off");
    RequireOk(nng_aio_alloc(&m_aio, &CallSlot::OnEvent, this), "allocate aio");
  }
  ~CallSlot() { nng_aio_free(m_aio); }
  CallSlot(const CallSlot&) = delete;
  CallSlot& operator=(const CallSlot&) = delete;

  void Start(const Frame& frame, Duration timeout, RpcCallback done) {
    m_correlation = frame.correlation;
    m_done = std::move(done);
    m_sent = false;
    m_deadline = m_clock.Now() + timeout;
    nng_aio_set_timeout(m_aio, Remaining());
    nng_aio_set_msg(m_aio, ToMessage(frame));
    nng_ctx_send(m_context, m_aio);
  }

 private:
  static void OnEvent(void* self) { static_cast<CallSlot*>(self)->Continue(); }

  nng_duration Remaining() const {
    const int64_t left = ToMillis(m_deadline - m_clock.Now());
    return static_cast<nng_duration>(std::max<int64_t>(left, 1));
  }

  void Continue();
  void ContinueSend(int code);
  void ContinueReceive(int code);
  void Finish(RpcResult result);

  Connection& m_connection;
  BootClock m_clock;
  nng_ctx m_context{};
  nng_aio* m_aio = nullptr;
  uint64_t m_correlation = 0;
  TimePoint m_deadline;
  bool m_sent = false;
  RpcCallback m_done;
};

/// One transport socket and its calls. Thread-safe.
class Connection {
 public:
  explicit Connection(const std::string& address) {
    RequireOk(nng_req0_open(&m_socket), "open socket");
    RequireOk(nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, kReconnectMinMs),
              "set reconnect time");
    RequireOk(nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs),
              "set reconnect time");
    RequireOk(
        nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes),
        "set message size");
    const std::string url = "tcp://" + address;
    RequireOk(nng_dial(m_socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK),
              url.c_str());
  }
  // Closing the socket ends every call. The callbacks run before the slots are
  // freed.
  ~Connection() { nng_close(m_socket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Call(const Frame& frame, Duration timeout, RpcCallback done) {
    TakeSlot().Start(frame, timeout, std::move(done));
  }

  void Release(CallSlot* slot, bool connection_ok) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_free.push_back(slot);
    m_suspect = m_suspect || !connection_ok;
  }

  /// Returns whether a call that was sent got no valid reply.
  bool suspect() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_suspect;
  }

  bool idle() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_free.size() == m_slots.size();
  }

 private:
  CallSlot& TakeSlot() {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_free.empty()) {
      m_slots.push_back(std::make_unique<CallSlot>(m_socket, *this));
      return *m_slots.back();
    }
    CallSlot* slot = m_free.back();
    m_free.pop_back();
    return *slot;
  }

  nng_socket m_socket{};
  mutable std::mutex m_mutex;
  bool m_suspect = false;
  std::vector<CallSlot*> m_free;
  std::vector<std::unique_ptr<CallSlot>> m_slots;
};

void CallSlot::Continue() {
  const int code = nng_aio_result(m_aio);
  if (m_sent) {
    ContinueReceive(code);
  } else {
    ContinueSend(code);
  }
}

void CallSlot::ContinueSend(int code) {
  if (code != 0) {
    nng_msg_free(nng_aio_get_msg(m_aio));
    Finish({Ran::kNotRun, "", {nng_strerror(code)}});
    return;
  }
  m_sent = true;
  nng_aio_set_timeout(m_aio, Remaining());
  nng_ctx_recv(m_context, m_aio);
}

void CallSlot::ContinueReceive(int code) {
  if (code != 0) {
    Finish({Ran::kMayHaveRun, "", {nng_strerror(code)}});
    return;
  }
  std::optional<Frame> frame = FromMessage(nng_aio_get_msg(m_aio));
  if (!frame || frame->correlation != m_correlation) {
    Finish({Ran::kMayHaveRun, "", {"answer to another call"}});
    return;
  }
  if (frame->code != kStatusReplied) {
    Finish({Ran::kMayHaveRun, "", {"peer dropped the call"}});
    return;
  }
  Finish({Ran::kRan, std::move(frame->payload), {}});
}

void CallSlot::Finish(RpcResult result) {
  RpcCallback done = std::move(m_done);
  m_done = nullptr;
  m_connection.Release(this, result.ran != Ran::kMayHaveRun);
  done(std::move(result));
}

}  // namespace

class RpcClient::Impl {
 public:
  explicit Impl(std::string address)
      : m_address(std::move(address)),
        m_current(std::make_unique<Connection>(m_address)) {}

  void Call(MessageKind kind,
            const std::string& payload,
            Duration timeout,
            RpcCallback done) {
    std::lock_guard<std::mutex> lock(m_mutex);
    ReplaceSuspectConnection();
    m_current->Call(
        {++m_last_correlation, static_cast<uint16_t>(kind), payload}, timeout,
        std::move(done));
  }

 private:
  // Outstanding calls on the old connection may still get a reply, so the
  // connection is kept until the last of them has ended.
  void ReplaceSuspectConnection() {
    m_retired.remove_if(
        [](const std::unique_ptr<Connection>& old) { return old->idle(); });
    if (!m_current->suspect()) {
      return;
    }
    m_retired.push_back(std::move(m_current));
    m_current = std::make_unique<Connection>(m_address);
  }

  std::string m_address;
  std::mutex m_mutex;
  uint64_t m_last_correlation = 0;
  std::unique_ptr<Connection> m_current;
  std::list<std::unique_ptr<Connection>> m_retired;
};

RpcClient::RpcClient(const std::string& address)
    : m_impl(std::make_unique<Impl>(address)) {}

RpcClient::~RpcClient() = default;

void RpcClient::Call(MessageKind kind,
                     const std::string& payload,
                     Duration timeout,
                     RpcCallback done) {
  m_impl->Call(kind, payload, timeout, std::move(done));
}

void RpcClientPool::Call(const std::string& address,
                         MessageKind kind,
                         const std::string& payload,
                         Duration timeout,
                         RpcCallback done) {
  RpcClient* client = nullptr;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<RpcClient>& entry = m_clients[address];
    if (!entry) {
      entry = std::make_unique<RpcClient>(address);
    }
    client = entry.get();
  }
  client->Call(kind, payload, timeout, std::move(done));
}

}  // namespace applestand

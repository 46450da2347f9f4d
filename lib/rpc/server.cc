#include "lib/rpc/server.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>

#include <atomic>
#include <utility>
#include <vector>

#include "lib/rpc/frame.h"

namespace applestand {

namespace {

/// Serves one call at a time on one transport context. A call without a reply
/// keeps its worker alive, even after the server was destroyed.
class Worker : public std::enable_shared_from_this<Worker> {
 public:
  Worker(nng_socket socket, const RpcHandler& handler) : m_handler(handler) {
    RequireOk(nng_ctx_open(&m_context, socket), "open context");
    RequireOk(nng_aio_alloc(&m_aio, &Worker::OnEvent, this), "allocate aio");
  }

  // The last owner may be a call that ends on a thread of the transport.
  // nng_aio_free would make that thread wait for itself.
  ~Worker() { nng_aio_reap(m_aio); }

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void Receive() {
    m_sending = false;
    nng_ctx_recv(m_context, m_aio);
  }

  /// Waits until no event is being processed. No event is processed afterwards.
  void Stop() { nng_aio_stop(m_aio); }

  void SendReply(const Frame& frame) {
    m_sending = true;
    nng_aio_set_msg(m_aio, ToMessage(frame));
    nng_ctx_send(m_context, m_aio);
  }

 private:
  /// Sends the reply to one call, or kStatusDropped if it is destroyed without
  /// a reply.
  class PendingCall {
   public:
    PendingCall(std::shared_ptr<Worker> worker, uint64_t correlation)
        : m_worker(std::move(worker)), m_correlation(correlation) {}
    ~PendingCall() { Finish(kStatusDropped, std::string()); }
    PendingCall(const PendingCall&) = delete;
    PendingCall& operator=(const PendingCall&) = delete;

    void Finish(uint16_t status, std::string payload) {
      if (!m_finished.exchange(true)) {
        m_worker->SendReply({m_correlation, status, std::move(payload)});
      }
    }

   private:
    std::shared_ptr<Worker> m_worker;
    uint64_t m_correlation;
    std::atomic<bool> m_finished{false};
  };

  static void OnEvent(void* self) { static_cast<Worker*>(self)->Continue(); }

  void Continue() {
    const int code = nng_aio_result(m_aio);
    if (code == NNG_ECLOSED || code == NNG_ECANCELED) {
      return;
    }
    if (m_sending) {
      if (code != 0) {
        nng_msg_free(nng_aio_get_msg(m_aio));
      }
      Receive();
      return;
    }
    if (code != 0) {
      Receive();
      return;
    }
    std::optional<Frame> frame = FromMessage(nng_aio_get_msg(m_aio));
    if (!frame) {
      Receive();
      return;
    }
    auto call =
        std::make_shared<PendingCall>(shared_from_this(), frame->correlation);
    m_handler(static_cast<MessageKind>(frame->code), std::move(frame->payload),
              [call](std::string payload) {
                call->Finish(kStatusReplied, std::move(payload));
              });
  }

  const RpcHandler& m_handler;
  nng_ctx m_context{};
  nng_aio* m_aio = nullptr;
  bool m_sending = false;
};

}  // namespace

class RpcServer::Impl {
 public:
  Impl(const RpcServerOptions& options, RpcHandler handler)
      : m_handler(std::move(handler)) {
    RequireOk(nng_rep0_open(&m_socket), "open socket");
    RequireOk(nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ,
                                  options.max_message_bytes),
              "set message size");
    const std::string url = "tcp://" + options.address;
    RequireOk(nng_listener_create(&m_listener, m_socket, url.c_str()),
              "create listener");
    RequireOk(nng_listener_start(m_listener, 0), url.c_str());
    for (int i = 0; i < options.max_concurrent_calls; ++i) {
      m_workers.push_back(std::make_shared<Worker>(m_socket, m_handler));
    }
    for (auto& worker : m_workers) {
      worker->Receive();
    }
  }

  ~Impl() {
    nng_close(m_socket);
    for (auto& worker : m_workers) {
      worker->Stop();
    }
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  int port() const {
    int port = 0;
    nng_listener_get_int(m_listener, NNG_OPT_TCP_BOUND_PORT, &port);
    return port;
  }

 private:
  RpcHandler m_handler;
  nng_socket m_socket{};
  nng_listener m_listener{};
  std::vector<std::shared_ptr<Worker>> m_workers;
};

RpcServer::RpcServer(const RpcServerOptions& options, RpcHandler handler)
    : m_impl(std::make_unique<Impl>(options, std::move(handler))) {}

RpcServer::~RpcServer() = default;

int RpcServer::port() const {
  return m_impl->port();
}

}  // namespace applestand

#include "lib/http/server.h"

#include <pistache/endpoint.h>

#include <utility>

namespace applestand {

namespace {

/// A response header of any name; the library sends typed headers only.
class AnyHeader : public Pistache::Http::Header::Header {
 public:
  AnyHeader(std::string name, std::string value)
      : m_name(std::move(name)), m_value(std::move(value)) {}

  const char* name() const override { return m_name.c_str(); }
  void write(std::ostream& os) const override { os << m_value; }
  uint64_t hash() const override {
    return Pistache::Http::Header::detail::hash(m_name.c_str());
  }

 private:
  std::string m_name;
  std::string m_value;
};

HttpRequest Convert(const Pistache::Http::Request& request) {
  HttpRequest out;
  out.method = Pistache::Http::methodString(request.method());
  out.target = request.resource() + request.query().as_str();
  for (const auto& entry : request.headers().rawList()) {
    out.headers.push_back({entry.second.name(), entry.second.value()});
  }
  out.body = request.body();
  out.peer = request.address().host();
  return out;
}

void Send(Pistache::Http::ResponseWriter& writer,
          const HttpResponse& response) {
  for (const HttpHeader& header : response.headers) {
    writer.headers().add(
        std::make_shared<AnyHeader>(header.name, header.value));
  }
  writer.send(static_cast<Pistache::Http::Code>(response.status),
              response.body);
}

class Bridge : public Pistache::Http::Handler {
 public:
  HTTP_PROTOTYPE(Bridge)

  explicit Bridge(HttpHandler handler) : m_handler(std::move(handler)) {}

  void onRequest(const Pistache::Http::Request& request,
                 Pistache::Http::ResponseWriter writer) override {
    auto shared =
        std::make_shared<Pistache::Http::ResponseWriter>(std::move(writer));
    m_handler(Convert(request), [shared](const HttpResponse& response) {
      Send(*shared, response);
    });
  }

 private:
  HttpHandler m_handler;
};

}  // namespace

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, HttpHandler handler)
      : m_options(std::move(options)),
        m_endpoint(Pistache::Address(m_options.address,
                                     Pistache::Port(m_options.port))),
        m_bridge(std::make_shared<Bridge>(std::move(handler))) {}

  void Start() {
    using Pistache::Tcp::Options;
    m_endpoint.init(Pistache::Http::Endpoint::options()
                        .threads(m_options.threads)
                        .flags(Options::ReuseAddr | Options::NoDelay)
                        .maxRequestSize(m_options.max_request_bytes)
                        .headerTimeout(m_options.header_timeout)
                        .bodyTimeout(m_options.body_timeout));
    m_endpoint.setHandler(m_bridge);
    m_endpoint.serveThreaded();
    m_started = true;
  }

  void Stop() {
    if (m_started) {
      m_endpoint.shutdown();
      m_started = false;
    }
  }

  uint16_t port() const { return m_endpoint.getPort(); }

 private:
  HttpServerOptions m_options;
  Pistache::Http::Endpoint m_endpoint;
  std::shared_ptr<Bridge> m_bridge;
  bool m_started = false;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() {
  Stop();
}

void HttpServer::Start() {
  m_impl->Start();
}

void HttpServer::Stop() {
  m_impl->Stop();
}

void HttpServer::BeginDrain() {}

void HttpServer::StopAccepting() {}

size_t HttpServer::requests_in_flight() const {
  return 0;
}

uint16_t HttpServer::port() const {
  return m_impl->port();
}

}  // namespace applestand

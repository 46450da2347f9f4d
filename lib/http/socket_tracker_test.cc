#include "lib/http/socket_tracker.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <string>

#include "lib/http/raw_server.h"

namespace applestand {

namespace {

using std::chrono::seconds;

/// Returns a socket that is connected to `server`.
int ConnectTo(const RawServer& server) {
  const std::string address = server.address();
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  peer.sin_port = htons(
      static_cast<uint16_t>(std::stoul(address.substr(address.find(':') + 1))));
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0);
  return fd;
}

uint16_t LocalPortOf(int fd) {
  sockaddr_in local{};
  socklen_t size = sizeof(local);
  getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size);
  return ntohs(local.sin_port);
}

/// Returns whether a socket that has received nothing has been shut down.
bool IsShutDown(int fd) {
  std::array<char, 1> byte{};
  return recv(fd, byte.data(), byte.size(), MSG_DONTWAIT) == 0;
}

}  // namespace

// Guards against a call that ends after its socket was closed and that then
// changes the state of another socket, which has got the same descriptor.
TEST_CASE("the end of a call does not concern a later socket") {
  RawServer server([](RawServer::Peer& peer, size_t) { peer.ReadRequest(); });
  const std::string address = server.address();
  const TimePoint start{};
  SocketTracker tracker;
  const int fd = ConnectTo(server);
  tracker.OnSocketOpened(fd, address);
  const auto closed = tracker.Acquire(address, LocalPortOf(fd), start);
  tracker.OnSocketClosed(fd);

  // Closes the socket and gives its descriptor to another one in one step, so
  // that no other thread gets it.
  const int other = ConnectTo(server);
  REQUIRE(dup2(other, fd) == fd);
  close(other);
  tracker.OnSocketOpened(fd, address);
  tracker.Acquire(address, LocalPortOf(fd), start);
  SUBCASE("the end of the call itself") {
    tracker.Release(closed, false, start + seconds(1));
    tracker.OnCallTimeout(address, start + seconds(2));
  }
  SUBCASE("a shutdown after the call") {
    tracker.ShutDown(closed);
  }
  CHECK_FALSE(IsShutDown(fd));
  tracker.OnSocketClosed(fd);
  close(fd);
}

}  // namespace applestand

#include "lib/node/request_relay.h"

#include <doctest/doctest.h>

#include <string>

namespace applestand {

namespace {

using std::chrono::seconds;

HostInfo Host(const std::string& id, double cpu_cores) {
  HostInfo host;
  host.id = HostId(id);
  host.incarnation = Incarnation(1);
  host.region = RegionId("norte");
  host.zone = ZoneId("norte-1");
  host.control_address = id + ":2";
  host.cpu_cores = cpu_cores;
  return host;
}

/// A host that ranks first in a fleet of two, whose other host is "other".
struct FirstHost {
  FirstHost() {
    membership.OnHostTableRead();
    membership.OnHostRow(other, reactor.Now() - seconds(10));
  }
  Reactor reactor;
  HttpClientPool http_client{reactor};
  HostInfo other = Host("other", 0.1);
  FleetMembership membership{FleetMembershipOptions(), Host("first", 0.3)};
  RequestRelay relay{reactor, http_client, membership};
};

}  // namespace

// Guards against a host without links to the targets that passes no request on
// after the store has answered it again, for as long as the other hosts do not
// poll it.
TEST_CASE("a hub that no host polls passes requests to the others") {
  FirstHost host;
  const TimePoint now = host.reactor.Now();
  host.membership.OnStoreUnreachable(now - seconds(8));
  REQUIRE(host.membership.ChooseSource(now - seconds(8)) == host.other.id);
  PullResponse response;
  response.from = host.other;
  host.membership.OnResponse(response, std::vector<HostInfo>{host.other},
                             now - seconds(5), now - seconds(5));
  host.membership.OnStoreAnswered();
  REQUIRE(host.membership.ChooseSource(now - seconds(4)) == HostId("first"));
  REQUIRE(host.membership.LiveHosts(now).size() == 1);
  CHECK(host.relay.ChoosePeer(std::nullopt, {}) == host.other.id);
  CHECK_FALSE(host.relay.ChoosePeer(std::nullopt, {host.other.id}));
}

// Guards against the same at a host that polls such a hub.
TEST_CASE("a host whose hub knows no others passes requests to them") {
  FirstHost host;
  const TimePoint now = host.reactor.Now();
  host.membership.OnHostRow(Host("third", 0.05), now);
  host.membership.OnStoreUnreachable(now);
  REQUIRE(host.membership.ChooseSource(now) == host.other.id);
  PullResponse response;
  response.from = host.other;
  host.membership.OnResponse(response, std::vector<HostInfo>{host.other}, now,
                             now);
  CHECK(host.relay.ChoosePeer(std::nullopt, {}) == host.other.id);
  CHECK(host.relay.ChoosePeer(std::nullopt, {host.other.id}) ==
        HostId("third"));
}

// Guards against requests that are passed to a host which has announced that it
// leaves.
TEST_CASE("no request is passed to a host that leaves") {
  FirstHost host;
  host.other.leaving = true;
  host.membership.OnHostRow(host.other, host.reactor.Now());
  CHECK_FALSE(host.relay.ChoosePeer(std::nullopt, {}));
}

}  // namespace applestand

#ifndef LIB_FLEET_NEWS_SERVER_H_
#define LIB_FLEET_NEWS_SERVER_H_

#include <array>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lib/fleet/roster.h"
#include "lib/relay/http_listener.h"

namespace applestand {

/// Copies of the store's tables, by StoreTable.
using TableMirrors = std::array<TableMirror, kStoreTables>;

/// Answers hosts that ask this one for news: holds each request back until
/// there is some, and tells the roster who asked. Not thread-safe.
class NewsServer {
 public:
  /// Preconditions: the references outlive this object. Requests are held back
  /// for `longest_wait` at most.
  NewsServer(Roster& roster, const TableMirrors& mirrors, Duration longest_wait)
      : m_roster(roster), m_mirrors(mirrors), m_longest_wait(longest_wait) {}

  void OnRequest(const std::shared_ptr<Exchange>& exchange, TimePoint now);
  /// Answers those for whom there is news, or who have waited long enough.
  void AnswerDue(TimePoint now);
  void AnswerAll(TimePoint now);
  /// So many wait that to tell each of each change would take long.
  bool many_wait() const;

 private:
  struct Waiting {
    std::shared_ptr<Exchange> exchange;
    PullRequest request;
    TimePoint came;
    TimePoint answer_by;
  };
  /// What an asker holds, as far as its news depends on it.
  using Held = std::pair<std::array<StoreVersion, kStoreTables>, std::string>;

  bool HasNewsFor(const Waiting& waiting) const;
  /// The live hosts as this host tells others, and the tag of the list.
  void RefreshLive(TimePoint now);
  /// Encoded news for an asker; made once for all that hold the same.
  const Deflated& NewsFor(const PullRequest& request);
  void Answer(const Waiting& waiting, TimePoint now);

  Roster& m_roster;
  const TableMirrors& m_mirrors;
  const Duration m_longest_wait;
  std::list<Waiting> m_waiting;
  std::vector<HostInfo> m_live;
  std::string m_live_tag;
  TimePoint m_live_at = TimePoint::min();
  // Forgotten with each change of what this host holds itself.
  std::map<Held, Deflated> m_news;
  Held m_news_of;
};

}  // namespace applestand

#endif  // LIB_FLEET_NEWS_SERVER_H_

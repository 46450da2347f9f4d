#include "lib/node/quarantine_service.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "lib/fleet/row_key.h"
#include "lib/log/log.h"
#include "lib/net/tcp.h"

namespace applestand {

namespace {

constexpr std::string_view kCrashPrefix = "crash/";
constexpr std::string_view kCompletedPrefix = "completed/";
// A check without an outcome until then tells nothing: a target that has
// crashed refuses connections at once.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
// Maximum number of targets that are checked at the same time.
constexpr size_t kMaxProbes = 32;
// Time after which a target that failed is presumed to have crashed, or to work
// again, even if no request has shown it.
constexpr Duration kMaxFailingTime = std::chrono::seconds(10);
// Interval at which the hub looks for missing and obsolete rows. It does so at
// each tick for some time after the store came back from an older copy.
constexpr Duration kRowCheckPeriod = std::chrono::seconds(10);
constexpr Duration kRestoreTime = std::chrono::seconds(2);
// Hosts need a row that clears a request only until they have read it.
constexpr Duration kCompletedRowLifetime = std::chrono::minutes(1);

/// Identifies one incarnation of a target, since a target may crash several
/// times under the same id.
TargetId IncarnationIdOf(const SteeringTarget& target) {
  return TargetId(target.id.value() + "@" +
                  std::to_string(target.incarnation.value()));
}

std::string HashHex(const std::string& text) {
  return Fingerprint{{}, 0, XXH3_64bits(text.data(), text.size())}.Hex();
}

/// Returns the part of a row's key that identifies the request. It includes the
/// account, because the hash in the fingerprint can be forged.
std::string RequestKey(const Fingerprint& fingerprint) {
  return HashHex(fingerprint.account.value()) + fingerprint.Hex();
}

/// Returns the key of the row for a notice of kind kSuspected.
std::string CrashKey(const QuarantineNotice& notice) {
  return std::string(kCrashPrefix) + RequestKey(notice.fingerprint) + "/" +
         HashHex(notice.target.value());
}

}  // namespace

/// Checks whether a target still listens, by opening a connection.
class QuarantineService::ConnectProbe : public StreamObserver {
 public:
  ConnectProbe(QuarantineService& service,
               TargetId incarnation,
               const std::string& address)
      : m_service(service),
        m_incarnation(std::move(incarnation)),
        m_timer(service.m_reactor) {
    m_stream =
        TcpStream::Connect(service.m_reactor, address, kProbeTimeout, *this);
    m_timer.Start(m_stream == nullptr ? Duration::zero() : kProbeTimeout,
                  [this] { End(false); });
  }

  void OnConnected() override { End(false); }
  void OnBytes(std::string_view /*bytes*/) override {}
  void OnEnd(bool /*orderly*/, const char* error) override {
    End(IsConnectionRefused(error));
  }

 private:
  /// Destroys this object.
  void End(bool refused) { m_service.OnProbeEnd(m_incarnation, refused); }

  QuarantineService& m_service;
  const TargetId m_incarnation;
  std::unique_ptr<TcpStream> m_stream;
  Timer m_timer;
};

QuarantineService::QuarantineService(Reactor& reactor, MetadataStore& store)
    : m_reactor(reactor),
      m_quarantine(ThreeCrashOptions()),
      m_writes(reactor, store) {}

QuarantineService::~QuarantineService() = default;

std::optional<Duration> QuarantineService::RemainingTime(
    const Fingerprint& fingerprint) {
  return m_quarantine.RemainingTime(fingerprint, m_reactor.Now());
}

void QuarantineService::OnCompleteResponse(const Fingerprint& fingerprint,
                                           const SteeringTarget& target) {
  m_failing_since.erase(IncarnationIdOf(target));
  m_quarantine.OnCompleteResponse(fingerprint, m_reactor.Now());
  HandleNotices("complete-response");
}

void QuarantineService::OnNoResponse(const Fingerprint& fingerprint,
                                     const SteeringTarget& target,
                                     TimePoint sent,
                                     Connection connection) {
  const TimePoint now = m_reactor.Now();
  const TargetId incarnation = IncarnationIdOf(target);
  for (auto it = m_failing_since.begin(); it != m_failing_since.end();) {
    it = it->second + kMaxFailingTime < now ? m_failing_since.erase(it)
                                            : std::next(it);
  }
  // The target may have crashed at the first failure, so that requests which
  // were sent to it later did not cause it.
  if (m_failing_since.try_emplace(incarnation, now).first->second < sent) {
    return;
  }
  m_quarantine.OnAttemptAborted(fingerprint, incarnation, now);
  HandleNotices("no-response-after-crash");
  if (connection == Connection::kOpen) {
    return;
  }
  // A request that was completed recently most likely crashes no target, which
  // saves the connection. If the target crashed, its row is removed later.
  if (m_probes.size() < kMaxProbes && m_probes.count(incarnation) == 0 &&
      !m_quarantine.CompletedRecently(fingerprint, now)) {
    m_probes[incarnation] =
        std::make_unique<ConnectProbe>(*this, incarnation, target.address);
  }
}

void QuarantineService::OnProbeEnd(const TargetId& incarnation, bool refused) {
  // Keeps the probe, which calls this function and owns `incarnation`, alive.
  const auto probe = m_probes.extract(incarnation);
  if (refused) {
    RecordCrash(incarnation, "connection-refused");
  }
}

void QuarantineService::OnConnectionRefused(const SteeringTarget& target) {
  RecordCrash(IncarnationIdOf(target), "connection-refused");
}

void QuarantineService::OnTargetEnded(const SteeringTarget& target) {
  RecordCrash(IncarnationIdOf(target), "row-ended");
}

void QuarantineService::RecordCrash(const TargetId& incarnation,
                                    const char* evidence) {
  m_quarantine.OnTargetCrash(incarnation, m_reactor.Now());
  HandleNotices(evidence);
}

void QuarantineService::HandleNotices(const char* evidence) {
  for (const QuarantineNotice& notice : m_quarantine.TakeNotices()) {
    const Fingerprint& fingerprint = notice.fingerprint;
    switch (notice.kind) {
      case QuarantineNoticeKind::kSuspected:
        LogEvent(Event::kRequestSuspected,
                 {{"fingerprint", fingerprint.Hex()},
                  {"account", fingerprint.account},
                  {"target", notice.target},
                  {"evidence", evidence},
                  {"crashes", m_quarantine.CrashesOf(fingerprint)},
                  {"served_before", notice.served_before}});
        m_writes.Add(CrashKey(notice), Encode(notice));
        break;
      case QuarantineNoticeKind::kQuarantined:
        // Every host derives it from the crashes.
        LogEvent(Event::kRequestQuarantined,
                 {{"account", fingerprint.account},
                  {"fingerprint", fingerprint.Hex()},
                  {"evidence", evidence},
                  {"crashes", m_quarantine.CrashesOf(fingerprint)},
                  {"for_ms", ToMillis(notice.remaining)}});
        break;
      case QuarantineNoticeKind::kCompleted:
        LogEvent(Event::kRequestCleared, {{"fingerprint", fingerprint.Hex()},
                                          {"account", fingerprint.account},
                                          {"evidence", evidence}});
        QueueClearing(notice);
        break;
    }
  }
  for (const Fingerprint& fingerprint : m_quarantine.TakeExcused()) {
    LogEvent(Event::kRequestExcused,
             {{"fingerprint", fingerprint.Hex()},
              {"account", fingerprint.account},
              {"evidence", evidence},
              {"crashes", m_quarantine.CrashesOf(fingerprint)}});
  }
}

void QuarantineService::QueueClearing(const QuarantineNotice& notice) {
  const std::string request = RequestKey(notice.fingerprint);
  m_writes.Drop(std::string(kCrashPrefix) + request + "/");
  if (const auto rows = m_crash_rows.find(request);
      rows != m_crash_rows.end()) {
    for (const auto& [key, fingerprint] : rows->second) {
      m_writes.Add(key, std::nullopt);
    }
  }
  m_writes.Add(std::string(kCompletedPrefix) + request, Encode(notice));
}

void QuarantineService::OnHostRows(const TableMirror& mirror,
                                   const std::vector<std::string>& keys) {
  const TimePoint now = m_reactor.Now();
  std::vector<const MirrorRow*> rows;
  for (const std::string& key : keys) {
    const bool crash = HasKeyPrefix(key, kCrashPrefix);
    if (!crash && !HasKeyPrefix(key, kCompletedPrefix)) {
      continue;
    }
    if (const MirrorRow* row = mirror.Find(key)) {
      rows.push_back(row);
      continue;
    }
    // A removal takes back nothing: the request may have been cleared, or the
    // row may have become obsolete.
    m_completed_rows.erase(key);
    if (crash) {
      const std::string request =
          key.substr(kCrashPrefix.size(), key.rfind('/') - kCrashPrefix.size());
      if (const auto it = m_crash_rows.find(request);
          it != m_crash_rows.end() && it->second.erase(key) != 0 &&
          it->second.empty()) {
        m_crash_rows.erase(it);
      }
    }
  }
  // In the order of the writes, so that crashes before a complete response do
  // not count.
  std::sort(rows.begin(), rows.end(),
            [](const MirrorRow* a, const MirrorRow* b) {
              return a->version < b->version;
            });
  for (const MirrorRow* row : rows) {
    Reason reason;
    const auto notice = Decode<QuarantineNotice>(row->value, reason);
    if (!notice) {
      LogEvent(Event::kBadMessage,
               {{"row", row->key}, {"reason", reason.text}});
      continue;
    }
    if (notice->kind == QuarantineNoticeKind::kSuspected) {
      m_crash_rows[RequestKey(notice->fingerprint)][row->key] =
          notice->fingerprint;
    } else {
      m_completed_rows.try_emplace(row->key, now);
    }
    m_quarantine.OnNotice(*notice, now);
    HandleNotices("row");
  }
}

void QuarantineService::OnStoreRestored() {
  m_store_restored_at = m_reactor.Now();
}

void QuarantineService::Tick(const TableMirror& mirror) {
  const TimePoint now = m_reactor.Now();
  const bool restored =
      m_store_restored_at && now - *m_store_restored_at < kRestoreTime;
  if (!restored && now - m_rows_checked_at < kRowCheckPeriod) {
    return;
  }
  m_rows_checked_at = now;
  RestoreLostRows(mirror);
  RemoveObsoleteRows(mirror);
}

void QuarantineService::RestoreLostRows(const TableMirror& mirror) {
  for (const QuarantineNotice& notice : m_quarantine.Suspicions()) {
    if (const std::string key = CrashKey(notice); mirror.Find(key) == nullptr) {
      m_writes.Add(key, Encode(notice));
    }
  }
}

void QuarantineService::RemoveObsoleteRows(const TableMirror& mirror) {
  const TimePoint now = m_reactor.Now();
  m_quarantine.RemoveExpired(now);
  for (const auto& [request, rows] : m_crash_rows) {
    for (const auto& [key, fingerprint] : rows) {
      if (m_quarantine.CrashesOf(fingerprint) == 0 &&
          mirror.Find(key) != nullptr) {
        m_writes.Add(key, std::nullopt);
      }
    }
  }
  for (const auto& [key, seen_at] : m_completed_rows) {
    if (now - seen_at > kCompletedRowLifetime) {
      m_writes.Add(key, std::nullopt);
    }
  }
}

}  // namespace applestand

#include "lib/node/quarantine_service.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "lib/log/log.h"
#include "lib/net/tcp.h"

namespace applestand {

namespace {

constexpr std::string_view kCrashPrefix = "crash/";
constexpr std::string_view kCompletedPrefix = "completed/";
// Crashes that are observed at about the same time share one write.
constexpr Duration kFlushDelay = std::chrono::milliseconds(20);
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(500);
// The platform's store accepts at most 100 rows in a transaction.
constexpr size_t kMaxRowsPerWrite = 100;
constexpr size_t kMaxQueuedWrites = 4096;
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
constexpr size_t kMaxProbes = 32;
// Time after which a target that failed is presumed to have crashed, or to work
// again, even if no request has shown it.
constexpr Duration kMaxFailingTime = std::chrono::seconds(10);
// Hosts need a row that clears a request only until they have read it.
constexpr Duration kCompletedRowLifetime = std::chrono::minutes(1);

/// Identifies one run of a target, since a target may crash several times under
/// the same id.
TargetId ToCrashedTarget(const SteeringTarget& target) {
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

bool HasPrefix(const std::string& key, std::string_view prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

/// Checks whether a target still listens, by opening a connection.
class QuarantineService::ConnectProbe : public StreamObserver {
 public:
  ConnectProbe(QuarantineService& service,
               TargetId target,
               const std::string& address)
      : m_service(service),
        m_target(std::move(target)),
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
  void End(bool refused) { m_service.OnProbeEnd(m_target, refused); }

  QuarantineService& m_service;
  const TargetId m_target;
  std::unique_ptr<TcpStream> m_stream;
  Timer m_timer;
};

QuarantineService::QuarantineService(Reactor& reactor, MetadataStore& store)
    : m_reactor(reactor),
      m_store(store),
      m_quarantine(ThreeCrashOptions()),
      m_flush_timer(reactor) {}

QuarantineService::~QuarantineService() = default;

std::optional<Duration> QuarantineService::RemainingTime(
    const Fingerprint& fingerprint) {
  return m_quarantine.RemainingTime(fingerprint, m_reactor.Now());
}

void QuarantineService::OnCompleteResponse(const Fingerprint& fingerprint,
                                           const SteeringTarget& target) {
  m_failing_since.erase(ToCrashedTarget(target));
  m_quarantine.OnCompleteResponse(fingerprint, m_reactor.Now());
  HandleNotices("complete-response");
}

void QuarantineService::OnNoResponse(const Fingerprint& fingerprint,
                                     const SteeringTarget& target,
                                     TimePoint sent,
                                     Connection connection) {
  const TimePoint now = m_reactor.Now();
  const TargetId crashed = ToCrashedTarget(target);
  for (auto it = m_failing_since.begin(); it != m_failing_since.end();) {
    it = it->second + kMaxFailingTime < now ? m_failing_since.erase(it)
                                            : std::next(it);
  }
  // The target may have crashed at the first failure, so that requests which
  // were sent to it later did not cause it.
  if (m_failing_since.try_emplace(crashed, now).first->second < sent) {
    return;
  }
  m_quarantine.OnAttemptAborted(fingerprint, crashed, now);
  HandleNotices("no-response-after-crash");
  if (connection == Connection::kOpen) {
    return;
  }
  // A request that was completed recently most likely crashes no target, which
  // saves the connection. If the target crashed, its row is removed later.
  if (m_probes.size() < kMaxProbes && m_probes.count(crashed) == 0 &&
      !m_quarantine.CompletedRecently(fingerprint, now)) {
    m_probes[crashed] =
        std::make_unique<ConnectProbe>(*this, crashed, target.address);
  }
}

void QuarantineService::OnProbeEnd(const TargetId& target, bool refused) {
  // Keeps the probe, which calls this function, and `target` alive.
  const auto probe = m_probes.extract(target);
  if (refused) {
    RecordCrash(target, "connection-refused");
  }
}

void QuarantineService::OnConnectionRefused(const SteeringTarget& target) {
  RecordCrash(ToCrashedTarget(target), "connection-refused");
}

void QuarantineService::OnTargetEnded(const SteeringTarget& target) {
  RecordCrash(ToCrashedTarget(target), "row-ended");
}

void QuarantineService::RecordCrash(const TargetId& target,
                                    const char* evidence) {
  m_quarantine.OnTargetCrash(target, m_reactor.Now());
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
                  {"crashes", m_quarantine.CrashesOf(fingerprint)}});
        QueueWrite(CrashKey(notice), Encode(notice));
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
}

void QuarantineService::QueueClearing(const QuarantineNotice& notice) {
  const std::string request = RequestKey(notice.fingerprint);
  const std::string crashes = std::string(kCrashPrefix) + request + "/";
  for (auto it = m_queued_writes.lower_bound(crashes);
       it != m_queued_writes.end() && HasPrefix(it->first, crashes);) {
    it = m_queued_writes.erase(it);
  }
  if (const auto rows = m_crash_rows.find(request);
      rows != m_crash_rows.end()) {
    for (const auto& [key, fingerprint] : rows->second) {
      QueueWrite(key, std::nullopt);
    }
  }
  QueueWrite(std::string(kCompletedPrefix) + request, Encode(notice));
}

void QuarantineService::QueueWrite(const std::string& key,
                                   std::optional<std::string> value) {
  if (m_queued_writes.size() >= kMaxQueuedWrites &&
      m_queued_writes.count(key) == 0) {
    LogEvent(Event::kStoreCallFailed,
             {{"row", key}, {"status", "dropped"}, {"reason", "queue full"}});
    return;
  }
  m_queued_writes[key] = std::move(value);
  ScheduleFlush(kFlushDelay);
}

void QuarantineService::ScheduleFlush(Duration delay) {
  if (m_flush_scheduled || m_write != nullptr || m_queued_writes.empty()) {
    return;
  }
  m_flush_scheduled = true;
  m_flush_timer.Start(delay, [this] { Flush(); });
}

void QuarantineService::Flush() {
  m_flush_scheduled = false;
  if (m_queued_writes.empty()) {
    return;
  }
  std::vector<StoreWrite> batch;
  for (const auto& [key, value] : m_queued_writes) {
    if (batch.size() == kMaxRowsPerWrite) {
      break;
    }
    batch.push_back({key, value});
  }
  m_write = m_store.WriteHosts(
      batch, [this, batch](StoreStatus status, const std::string& error) {
        OnWritten(batch, status, error);
      });
}

void QuarantineService::OnWritten(const std::vector<StoreWrite>& batch,
                                  StoreStatus status,
                                  const std::string& error) {
  m_write = nullptr;
  if (status != StoreStatus::kOk) {
    LogEvent(Event::kStoreCallFailed, {{"rows", batch.size()},
                                       {"status", ToString(status)},
                                       {"reason", error}});
    ScheduleFlush(kWriteRetryDelay);
    return;
  }
  for (const StoreWrite& write : batch) {
    const auto queued = m_queued_writes.find(write.key);
    // A newer value may have been queued meanwhile.
    if (queued != m_queued_writes.end() && queued->second == write.value) {
      m_queued_writes.erase(queued);
    }
  }
  ScheduleFlush(kFlushDelay);
}

void QuarantineService::OnHostRows(const TableMirror& mirror,
                                   const std::vector<std::string>& keys) {
  const TimePoint now = m_reactor.Now();
  std::vector<const MirrorRow*> rows;
  for (const std::string& key : keys) {
    const bool crash = HasPrefix(key, kCrashPrefix);
    if (!crash && !HasPrefix(key, kCompletedPrefix)) {
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

void QuarantineService::RestoreLostRows(const TableMirror& mirror) {
  for (const QuarantineNotice& notice : m_quarantine.Suspicions()) {
    if (const std::string key = CrashKey(notice); mirror.Find(key) == nullptr) {
      QueueWrite(key, Encode(notice));
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
        QueueWrite(key, std::nullopt);
      }
    }
  }
  for (const auto& [key, seen_at] : m_completed_rows) {
    if (now - seen_at > kCompletedRowLifetime) {
      QueueWrite(key, std::nullopt);
    }
  }
}

}  // namespace applestand

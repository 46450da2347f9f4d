// The part of SteeredRequest that finds out by which route and account a
// request is served, and whether it may be.

#include <xxhash.h>

#include <algorithm>
#include <cctype>

#include "lib/log/log.h"
#include "lib/node/steered_request.h"

namespace applestand {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// If the configuration is older than this, an unknown key or route may have
// been added since; the caller is told to retry.
constexpr Duration kMaxTrustedConfigAge = std::chrono::milliseconds(2500);
// Retry-After if this host lacks the current information that it needs to serve
// the request.
constexpr Duration kRetryWhenUnready = std::chrono::milliseconds(150);
// Maximum Retry-After while the configuration may be incomplete. An operator
// may write it again at any time.
constexpr Duration kMaxRetryWhenIncomplete = std::chrono::milliseconds(500);
// Retry-After after a target shed the request. Short, because another target
// may have capacity.
constexpr Duration kRetryAfterShed = std::chrono::milliseconds(25);

std::string HostNameOf(const HttpRequest& request) {
  std::string host = FindHeader(request.headers, "Host").value_or("");
  host = host.substr(0, host.find(':'));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return host;
}

/// Returns the service of the route, or null if it is not one of them.
const ServiceId* FindService(const ServingRoute& route,
                             const ServiceId& service) {
  for (const WeightedService& candidate : route.services) {
    if (candidate.service == service) {
      return &candidate.service;
    }
  }
  return nullptr;
}

}  // namespace

bool SteeredRequest::Admit(TimePoint now) {
  // By one caller's host, requests are handled by one configuration, also those
  // that it passes on to other hosts.
  const ServingState serving =
      m_relayed == nullptr ? m_context.Serving()
                           : m_context.ServingAt(m_relayed->terms().config,
                                                 m_relayed->terms().config_age);
  if (serving.config == nullptr) {
    Refuse(kUnavailable, "no-configuration", kRetryWhenUnready);
    return false;
  }
  m_config = serving.config;
  m_config_age = now - serving.current_at;
  const HttpRequest& request = m_exchange->request();
  m_route = FindRoute(*m_config, HostNameOf(request), PathOf(request));
  if (m_route == nullptr) {
    if (serving.incomplete_until) {
      RefuseAsIncomplete(*serving.incomplete_until, now);
    } else if (m_config_age > kMaxTrustedConfigAge) {
      Refuse(kUnavailable, "route-unknown-configuration-old",
             kRetryWhenUnready);
    } else {
      Refuse(kNotFound, "route-unknown", std::nullopt);
    }
    return false;
  }
  if (!m_route->open && m_config->requires_keys) {
    if (serving.incomplete_until) {
      RefuseAsIncomplete(*serving.incomplete_until, now);
      return false;
    }
    if (!AuthorizeKey(serving)) {
      return false;
    }
  }
  const ServiceId* service =
      m_relayed != nullptr ? FindService(*m_route, m_relayed->terms().service)
                           : nullptr;
  if (service == nullptr) {
    service = m_context.split().Next(*m_route);
  }
  if (service == nullptr) {
    Refuse(kUnavailable, "route-without-service", std::nullopt);
    return false;
  }
  m_fingerprint = ComputeFingerprint(
      m_account != nullptr ? m_account->id : ClientAccountId(),
      HostNameOf(request), request);
  if (const auto remaining =
          m_context.quarantine().RemainingTime(m_fingerprint)) {
    Refuse(kUnavailable, kCrashesTargets, *remaining);
    return false;
  }
  m_deadline = m_exchange->arrival_time() +
               std::min(m_route->timeout,
                        m_metadata.time_budget.value_or(m_route->timeout));
  m_query.service = *service;
  if (m_route->sticky && !m_metadata.object.empty()) {
    // Objects of different routes are different even if their names are equal.
    const std::string object = m_route->id.value() + "/" + m_metadata.object;
    m_query.object = XXH3_64bits(object.data(), object.size());
  }
  m_query.home_regions = EffectiveHomeRegions(*m_route, m_account);
  m_query.priority = m_account != nullptr && m_account->priority
                         ? *m_account->priority
                         : m_route->priority;
  m_query.body_bytes = request.body.size();
  RetryOptions options;
  options.repeatable = m_route->repeatable;
  options.max_attempts = m_route->attempts;
  if (m_relayed != nullptr) {
    const RelayTerms& terms = m_relayed->terms();
    m_deadline =
        std::min(m_deadline, m_exchange->arrival_time() + terms.time_left);
    options.max_attempts = std::min(options.max_attempts, terms.attempts_left);
  }
  options.default_retry_after = kRetryAfterShed;
  m_retry_state.emplace(options, m_deadline,
                        m_context.RetryBudgetFor(*service));
  return true;
}

void SteeredRequest::RefuseAsIncomplete(TimePoint until, TimePoint now) {
  Refuse(kUnavailable, "configuration-may-be-incomplete",
         std::clamp(until - now, kRetryWhenUnready, kMaxRetryWhenIncomplete));
}

bool SteeredRequest::AuthorizeKey(const ServingState& serving) {
  const auto key = m_metadata.key ? m_config->keys.find(*m_metadata.key)
                                  : m_config->keys.end();
  if (key == m_config->keys.end()) {
    if (m_config_age > kMaxTrustedConfigAge) {
      Refuse(kUnavailable, "key-unknown-configuration-old", kRetryWhenUnready);
    } else {
      Refuse(kUnauthorized, "key-unknown", std::nullopt);
    }
    return false;
  }
  if (m_config_age > m_context.max_key_age()) {
    Refuse(kUnavailable, "key-may-be-withdrawn", kRetryWhenUnready);
    return false;
  }
  m_account = &m_config->accounts.at(key->second);
  // The sender of a relayed request has taken a token of its own share.
  if (m_account->rate > 0 && m_relayed == nullptr && !serving.share_valid) {
    Refuse(kUnavailable, "share-of-limit-not-valid", kRetryWhenUnready);
    return false;
  }
  return true;
}

}  // namespace applestand

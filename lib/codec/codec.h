#ifndef LIB_CODEC_CODEC_H_
#define LIB_CODEC_CODEC_H_

#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/base/verdict.h"

// Message types list their fields in MSGPACK_DEFINE(...), which serializes them
// as an array in that order. Add new fields at the end: if an older process
// sends a shorter array, the missing fields keep their default values.

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class Tag>
  struct pack<applestand::Id<Tag>> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const applestand::Id<Tag>& id) const {
      return out.pack(id.value());
    }
  };
  template <class Tag>
  struct convert<applestand::Id<Tag>> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      applestand::Id<Tag>& id) const {
      id = applestand::Id<Tag>(in.as<std::string>());
      return in;
    }
  };

  template <class Tag>
  struct pack<applestand::Counter<Tag>> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               applestand::Counter<Tag> counter) const {
      return out.pack(counter.value());
    }
  };
  template <class Tag>
  struct convert<applestand::Counter<Tag>> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      applestand::Counter<Tag>& counter) const {
      counter = applestand::Counter<Tag>(in.as<uint64_t>());
      return in;
    }
  };

  template <>
  struct pack<applestand::Duration> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               applestand::Duration duration) const {
      return out.pack(static_cast<int64_t>(duration.count()));
    }
  };
  template <>
  struct convert<applestand::Duration> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      applestand::Duration& duration) const {
      duration = applestand::Duration(in.as<int64_t>());
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

MSGPACK_ADD_ENUM(applestand::Ran)

namespace applestand {

/// Returns whether a message has so many values, however short, that decoding
/// it would take far more memory than its bytes do. Thread-safe.
bool HasTooManyValues(std::string_view bytes);

/// Makes msgpack::unpack leave strings in the bytes that it reads, which
/// outlive their use here.
inline bool RefersToBytes(msgpack::type::object_type /*type*/,
                          size_t /*size*/,
                          void* /*context*/) {
  return true;
}

/// Serializes a message. Thread-safe.
template <class T>
std::string Encode(const T& message) {
  /// The interface that msgpack::pack writes to.
  struct Sink {
    // NOLINTNEXTLINE(readability-identifier-naming)
    void write(const char* data, size_t size) { bytes.append(data, size); }
    std::string bytes;
  };
  Sink sink;
  msgpack::pack(sink, message);
  return std::move(sink.bytes);
}

/// Parses a message. Returns std::nullopt and sets `reason` if `bytes` is not
/// exactly one message of this type. Thread-safe.
template <class T>
[[nodiscard]] std::optional<T> Decode(std::string_view bytes, Reason& reason) {
  if (HasTooManyValues(bytes)) {
    reason.text = "too many values";
    return std::nullopt;
  }
  try {
    size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, RefersToBytes);
    if (offset != bytes.size()) {
      reason.text = "bytes after the end of the message";
      return std::nullopt;
    }
    return handle.get().as<T>();
  } catch (const std::exception& error) {
    reason.text = error.what();
    return std::nullopt;
  }
}

}  // namespace applestand

#endif  // LIB_CODEC_CODEC_H_

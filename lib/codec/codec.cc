#include "lib/codec/codec.h"

namespace applestand {

namespace {

// Each value takes 24 bytes while its message is decoded. Tables of the
// greatest size have about half as many.
constexpr uint64_t kMaxValues = uint64_t{2} << 20;

/// Stops at the value that exceeds the limit.
class ValueCounter : public msgpack::null_visitor {
 public:
  // The names are those that msgpack::parse calls.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_array(uint32_t elements) { return Count(elements); }
  bool start_map(uint32_t pairs) { return Count(uint64_t{2} * pairs); }
  // NOLINTEND(readability-identifier-naming)

  bool exceeded() const { return m_values > kMaxValues; }

 private:
  bool Count(uint64_t values) {
    m_values += values;
    return !exceeded();
  }

  uint64_t m_values = 0;
};

}  // namespace

bool HasTooManyValues(std::string_view bytes) {
  // A value has at least one byte.
  if (bytes.size() <= kMaxValues) {
    return false;
  }
  ValueCounter counter;
  size_t offset = 0;
  msgpack::parse(bytes.data(), bytes.size(), offset, counter);
  return counter.exceeded();
}

}  // namespace applestand

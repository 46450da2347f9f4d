#ifndef LIB_CODEC_JSON_STREAM_H_
#define LIB_CODEC_JSON_STREAM_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applestand {

/// Receives the parts of a JSON text in order. Not thread-safe.
class JsonObserver {
 public:
  virtual ~JsonObserver() = default;
  virtual void OnBeginObject() = 0;
  virtual void OnBeginArray() = 0;
  /// The innermost object or array has ended.
  virtual void OnEnd() = 0;
  /// A key of an object, followed by its value. std::nullopt if it is longer
  /// than the parser's limit, or not well-formed.
  virtual void OnKey(std::optional<std::string> key) = 0;
  /// A string that is a value. std::nullopt as for OnKey.
  virtual void OnString(std::optional<std::string> value) = 0;
  /// A number, true, false or null as it stands in the text. Empty if it is
  /// longer than the parser's limit.
  virtual void OnScalar(std::string_view text) = 0;
};

/// Parses a JSON text that arrives in pieces. Takes bounded memory, whatever
/// the text: nothing is kept but the string that is being read, up to a limit,
/// and one bit for each level of nesting.
///
/// The JSON library builds a tree, or needs the whole text and keeps whole
/// strings.
///
/// Not thread-safe.
class JsonStreamParser {
 public:
  /// Strings and scalars of more than `max_bytes`, as they stand in the text,
  /// are passed over. `observer` must outlive the parser.
  JsonStreamParser(JsonObserver& observer, size_t max_bytes)
      : m_observer(observer), m_max_bytes(max_bytes) {}

  /// Parses the next piece of the text. Returns false if the text is
  /// malformed; the parser must not be used afterwards.
  [[nodiscard]] bool Push(std::string_view bytes);
  /// Called at the end of the text. Returns whether it is complete.
  [[nodiscard]] bool Finish();

 private:
  enum class Expected {
    kValue,
    kValueOrEnd,
    kKey,
    kKeyOrEnd,
    kColon,
    kCommaOrEnd,
    kNothing,
  };
  enum class Token { kNone, kString, kScalar };

  // Each reads from the front of `bytes` and returns the number of bytes read.
  size_t ReadString(std::string_view bytes);
  size_t ReadScalar(std::string_view bytes);
  // Return false if the text is malformed.
  bool ReadStructure(char c);
  bool Begin(bool object);
  bool End(bool object);
  bool EndScalar();
  void EndString();
  void Keep(std::string_view bytes);
  void EndValue();
  bool ExpectsValue() const {
    return m_expected == Expected::kValue ||
           m_expected == Expected::kValueOrEnd;
  }

  JsonObserver& m_observer;
  const size_t m_max_bytes;
  Expected m_expected = Expected::kValue;
  Token m_token = Token::kNone;
  // The string or scalar that is being read, unless it is too long.
  std::string m_text;
  bool m_too_long = false;
  bool m_escaped = false;
  // Whether each container that is open is an object, the innermost one last.
  std::vector<bool> m_open;
};

}  // namespace applestand

#endif  // LIB_CODEC_JSON_STREAM_H_

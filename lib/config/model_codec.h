#ifndef LIB_CONFIG_MODEL_CODEC_H_
#define LIB_CONFIG_MODEL_CODEC_H_

#include <type_traits>

#include "lib/codec/codec.h"
#include "lib/config/model.h"

namespace applestand {

// Fields(item) returns the fields of an item in the order of the snapshot
// format. Changing the order breaks stored snapshots.

inline auto Fields(ClientAccount& item) {
  return msgpack::type::make_define_array(
      item.id, item.contract.requests_per_second, item.contract.burst,
      item.contract.weight);
}

inline auto Fields(Key& item) {
  return msgpack::type::make_define_array(item.id, item.account,
                                          item.secret_sha256);
}

inline auto Fields(Route& item) {
  return msgpack::type::make_define_array(
      item.id, item.path_prefix, item.service, item.open, item.repeatable,
      item.accounts, item.timeout);
}

inline auto Fields(Target& item) {
  return msgpack::type::make_define_array(item.id, item.service, item.region,
                                          item.zone, item.address, item.slots,
                                          item.leaving);
}

inline auto Fields(Move& item) {
  return msgpack::type::make_define_array(
      item.id, item.service, item.from, item.to, item.step_permille,
      item.step_interval, item.goal_permille, item.current_permille,
      item.paused);
}

inline auto Fields(ClientBlock& item) {
  return msgpack::type::make_define_array(item.network, item.regions);
}

template <class T, class = void>
struct IsItem : std::false_type {};
template <class T>
struct IsItem<T, std::void_t<decltype(Fields(std::declval<T&>()))>>
    : std::true_type {};

}  // namespace applestand

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class T>
  struct pack<T, std::enable_if_t<applestand::IsItem<T>::value>> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out, const T& item) const {
      // msgpack_pack does not modify the fields that it refers to.
      applestand::Fields(const_cast<T&>(item)).msgpack_pack(out);
      return out;
    }
  };
  template <class T>
  struct convert<T, std::enable_if_t<applestand::IsItem<T>::value>> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      T& item) const {
      applestand::Fields(item).msgpack_unpack(in);
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

#endif  // LIB_CONFIG_MODEL_CODEC_H_

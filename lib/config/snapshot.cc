#include <xxhash.h>

#include <utility>

#include "lib/config/item_traits.h"
#include "lib/config/model_codec.h"
#include "lib/config/replica.h"

namespace applestand {

namespace {

constexpr uint32_t kSnapshotFormat = 1;

// The stored form of a snapshot: the packed state and its XXH3 checksum.
struct SnapshotFile {
  uint32_t format = kSnapshotFormat;
  uint64_t checksum = 0;
  std::string body;
  MSGPACK_DEFINE(format, checksum, body)
};

template <class Item>
void PackItems(msgpack::packer<msgpack::sbuffer>& out,
               const ConfigState& state) {
  const auto& items = state.*ItemTraits<Item>::kMap;
  out.pack_array(static_cast<uint32_t>(items.size()));
  for (const auto& [key, item] : items) {
    out.pack(item);
  }
}

template <class Item>
void UnpackItems(const msgpack::object& in, ConfigState& state) {
  if (in.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  auto& items = state.*ItemTraits<Item>::kMap;
  for (uint32_t i = 0; i < in.via.array.size; ++i) {
    auto item = in.via.array.ptr[i].as<Item>();
    auto key = ItemTraits<Item>::GetMapKey(item);
    items.emplace_hint(items.end(), std::move(key), std::move(item));
  }
}

template <class... Items>
struct ItemList {
  static constexpr uint32_t kCount = sizeof...(Items);

  static void Pack(msgpack::packer<msgpack::sbuffer>& out,
                   const ConfigState& state) {
    (PackItems<Items>(out, state), ...);
  }

  static void Unpack(const msgpack::object* in, ConfigState& state) {
    (UnpackItems<Items>(*in++, state), ...);
  }
};

using AllItems = ItemList<ClientAccount, Key, Route, Target, Move, ClientBlock>;

// The version and the number of contract shares precede the items.
constexpr uint32_t kFieldsBeforeItems = 2;

uint64_t Checksum(const std::string& body) {
  return XXH3_64bits(body.data(), body.size());
}

}  // namespace

std::string EncodeSnapshot(const ConfigState& state) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> out(buffer);
  out.pack_array(kFieldsBeforeItems + AllItems::kCount);
  out.pack(state.version);
  out.pack(state.contract_share_count);
  AllItems::Pack(out, state);
  SnapshotFile file;
  file.body.assign(buffer.data(), buffer.size());
  file.checksum = Checksum(file.body);
  return Encode(file);
}

std::optional<ConfigState> DecodeSnapshot(const std::string& bytes,
                                          Reason& reason) {
  const auto file = Decode<SnapshotFile>(bytes, reason);
  if (!file) {
    return std::nullopt;
  }
  if (file->format != kSnapshotFormat ||
      file->checksum != Checksum(file->body)) {
    reason.text = "the snapshot has an unsupported format or a wrong checksum";
    return std::nullopt;
  }
  try {
    const auto handle = msgpack::unpack(file->body.data(), file->body.size());
    const msgpack::object& body = handle.get();
    if (body.type != msgpack::type::ARRAY ||
        body.via.array.size != kFieldsBeforeItems + AllItems::kCount) {
      throw msgpack::type_error();
    }
    const msgpack::object* fields = body.via.array.ptr;
    ConfigState state;
    state.version = fields[0].as<ConfigVersion>();
    state.contract_share_count = fields[1].as<uint32_t>();
    AllItems::Unpack(fields + kFieldsBeforeItems, state);
    return state;
  } catch (const std::exception& error) {
    reason.text = error.what();
    return std::nullopt;
  }
}

}  // namespace applestand

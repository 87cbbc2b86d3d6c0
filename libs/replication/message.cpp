#include "replication/message.h"

#include <limits>
#include <type_traits>
#include <utility>

#include "base/json.h"

namespace boragedoor::replication {

namespace {

/// Reads the elements of an array in order. After an element of the wrong type, all further reads
/// fail.
class reader {
public:
  explicit reader(const json& array) : array_(array), ok_(array.is_array()) {}

  template <class Integer>
  void take(Integer& value) requires std::is_unsigned_v<Integer> {
    const json* const it = next();
    if (it != nullptr && it->is_number_unsigned() &&
        it->get<std::uint64_t>() <= std::numeric_limits<Integer>::max()) {
      value = static_cast<Integer>(it->get<std::uint64_t>());
    } else {
      ok_ = false;
    }
  }
  void take(bool& value) {
    const json* const it = next();
    ok_ = it != nullptr && it->is_boolean();
    if (ok_) {
      value = it->get<bool>();
    }
  }
  void take(std::string& value) {
    const json* const it = next();
    ok_ = it != nullptr && it->is_string();
    if (ok_) {
      value = it->get_ref<const std::string&>();
    }
  }
  void take(std::vector<std::uint8_t>& value) {
    const json* const it = next();
    ok_ = it != nullptr && it->is_binary();
    if (ok_) {
      value = it->get_binary();
    }
  }
  /// Reads a nested array and calls `read` with a reader of each element.
  template <class Read>
  void take_each(Read read) {
    const json* const list = next();
    ok_ = list != nullptr && list->is_array();
    if (!ok_) {
      return;
    }
    for (const json& it : *list) {
      reader element(it);
      read(element);
      ok_ = ok_ && element.is_finished();
    }
  }
  [[nodiscard]] bool is_finished() const { return ok_ && position_ == array_.size(); }

private:
  const json* next() { return ok_ && position_ < array_.size() ? &array_[position_++] : nullptr; }

  const json& array_;
  std::size_t position_ = 0;
  bool ok_ = false;
};

json fields(const heartbeat& it) {
  return {it.sequence,
          it.echo,
          it.boot_id,
          it.revision,
          it.withdrawal_digest,
          it.ready,
          it.ages.store,
          it.ages.names_hash,
          json::binary(it.ages.data_centres)};
}

void read_fields(reader& in, heartbeat& it) {
  in.take(it.sequence);
  in.take(it.echo);
  in.take(it.boot_id);
  in.take(it.revision);
  in.take(it.withdrawal_digest);
  in.take(it.ready);
  in.take(it.ages.store);
  in.take(it.ages.names_hash);
  in.take(it.ages.data_centres);
}

json fields(const config_delta& it) {
  json list = json::array();
  for (const configuration_delta& entry : it.deltas) {
    list.push_back(json::array({entry.base_revision, entry.revision, entry.offset, entry.removed,
                                entry.inserted, entry.hash}));
  }
  return json::array({std::move(list)});
}

void read_fields(reader& in, config_delta& it) {
  in.take_each([&](reader& element) {
    configuration_delta& entry = it.deltas.emplace_back();
    element.take(entry.base_revision);
    element.take(entry.revision);
    element.take(entry.offset);
    element.take(entry.removed);
    element.take(entry.inserted);
    element.take(entry.hash);
  });
}

json fields(const config_request& it) {
  return json::array({it.revision, it.snapshot});
}

void read_fields(reader& in, config_request& it) {
  in.take(it.revision);
  in.take(it.snapshot);
}

json fields(const config_snapshot& it) {
  return json::array({it.version.revision, it.version.document});
}

void read_fields(reader& in, config_snapshot& it) {
  in.take(it.version.revision);
  in.take(it.version.document);
}

json fields(const withdrawals& it) {
  json list = json::array();
  for (const withdrawal& entry : it.entries) {
    list.push_back(json::array({entry.key_id, entry.listed_revision}));
  }
  return json::array({std::move(list), it.confirm});
}

void read_fields(reader& in, withdrawals& it) {
  in.take_each([&](reader& element) {
    withdrawal& entry = it.entries.emplace_back();
    element.take(entry.key_id);
    element.take(entry.listed_revision);
  });
  in.take(it.confirm);
}

json fields(const withdrawals_request& it) {
  json list = json::array();
  for (const std::uint32_t bucket : it.buckets) {
    list.push_back(bucket);
  }
  return list;
}

void read_fields(reader& in, withdrawals_request& it) {
  for (std::uint32_t& bucket : it.buckets) {
    in.take(bucket);
  }
}

json fields(const withdrawals_held& it) {
  json list = json::array();
  for (const std::string& key_id : it.key_ids) {
    list.push_back(json::array({key_id}));
  }
  return json::array({std::move(list)});
}

void read_fields(reader& in, withdrawals_held& it) {
  in.take_each([&](reader& element) { element.take(it.key_ids.emplace_back()); });
}

template <std::size_t N = 0>
result<message> decode_alternative(std::size_t index, const json& body) {
  if constexpr (N < std::variant_size_v<message>) {
    if (index != N) {
      return decode_alternative<N + 1>(index, body);
    }
    std::variant_alternative_t<N, message> it;
    reader in(body);
    read_fields(in, it);
    if (in.is_finished()) {
      return message(std::move(it));
    }
  }
  return error{error_code::protocol, "malformed replication message"};
}

} // namespace

std::string encode(const message& value) {
  json body = std::visit([](const auto& alternative) { return fields(alternative); }, value);
  return to_cbor(json::array({value.index(), std::move(body)}));
}

result<message> decode(std::string_view bytes) {
  if (bytes.size() > max_message_size) {
    return error{error_code::protocol, "replication message exceeds the size limit"};
  }
  BOOST_OUTCOME_TRY(document, parse_cbor(bytes));
  if (!document.is_array() || document.size() != 2 || !document[0].is_number_unsigned()) {
    return error{error_code::protocol, "malformed replication message"};
  }
  return decode_alternative(document[0].get<std::size_t>(), document[1]);
}

} // namespace boragedoor::replication

#include "base/json.h"

#include <limits>
#include <vector>

namespace boragedoor {

namespace {

/// Builds a value from parser events and stops at the depth limit, so that hostile input cannot
/// exhaust the stack when the value is later destroyed or printed.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json> {
public:
  using base = nlohmann::detail::json_sax_dom_parser<json>;

  bounded_builder(json& target, std::size_t max_depth)
      : base(target, false), max_depth_(max_depth) {}

  bool start_object(std::size_t n) { return enter() && base::start_object(n); }
  bool start_array(std::size_t n) { return enter() && base::start_array(n); }
  bool end_object() {
    --depth_;
    return base::end_object();
  }
  bool end_array() {
    --depth_;
    return base::end_array();
  }

private:
  bool enter() { return ++depth_ <= max_depth_; }

  std::size_t max_depth_;
  std::size_t depth_ = 0;
};

result<json> parse(std::string_view data, std::size_t max_depth,
                   nlohmann::detail::input_format_t format) {
  json value;
  bounded_builder builder(value, max_depth);
  bool ok = false;
  try {
    ok = json::sax_parse(data.begin(), data.end(), &builder, format);
  } catch (const json::exception&) {
    // The library throws on container lengths that cannot be represented.
    ok = false;
  }
  if (!ok) {
    return error{error_code::protocol, "malformed or too deeply nested document"};
  }
  return value;
}

const json* find_field(const json& object, std::string_view name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto it = object.find(name);
  return it == object.end() ? nullptr : &*it;
}

} // namespace

result<json> parse_json(std::string_view text, std::size_t max_depth) {
  return parse(text, max_depth, nlohmann::detail::input_format_t::json);
}

result<json> parse_cbor(std::string_view bytes, std::size_t max_depth) {
  return parse(bytes, max_depth, nlohmann::detail::input_format_t::cbor);
}

std::string to_cbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

std::string to_text(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string> string_field(const json& object, std::string_view name) {
  const json* it = find_field(object, name);
  if (it == nullptr || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

std::optional<std::int64_t> integer_field(const json& object, std::string_view name) {
  const json* it = find_field(object, name);
  if (it == nullptr || !it->is_number_integer()) {
    return std::nullopt;
  }
  if (it->is_number_unsigned() &&
      it->get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
    return std::nullopt;
  }
  return it->get<std::int64_t>();
}

std::optional<double> number_field(const json& object, std::string_view name) {
  const json* it = find_field(object, name);
  if (it == nullptr || !it->is_number()) {
    return std::nullopt;
  }
  return it->get<double>();
}

std::optional<bool> bool_field(const json& object, std::string_view name) {
  const json* it = find_field(object, name);
  if (it == nullptr || !it->is_boolean()) {
    return std::nullopt;
  }
  return it->get<bool>();
}

} // namespace boragedoor

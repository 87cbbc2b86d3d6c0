#include "base/json_list.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace boragedoor {

namespace {

using dom_builder = nlohmann::detail::json_sax_dom_parser<json>;

/// Takes parser events of an object and builds the elements of one of its arrays apart.
class list_builder {
public:
  list_builder(json& fields, std::string_view list, const std::function<bool(const json&)>& take)
      : fields_(fields, false), list_(list), take_(take) {}

  bool null() {
    return value([](dom_builder& to) { return to.null(); });
  }
  bool boolean(bool it) {
    return value([it](dom_builder& to) { return to.boolean(it); });
  }
  bool number_integer(json::number_integer_t it) {
    return value([it](dom_builder& to) { return to.number_integer(it); });
  }
  bool number_unsigned(json::number_unsigned_t it) {
    return value([it](dom_builder& to) { return to.number_unsigned(it); });
  }
  bool number_float(json::number_float_t it, const std::string& text) {
    return value([it, &text](dom_builder& to) { return to.number_float(it, text); });
  }
  bool string(std::string& it) {
    return value([&it](dom_builder& to) { return to.string(it); });
  }
  bool binary(json::binary_t& it) {
    return value([&it](dom_builder& to) { return to.binary(it); });
  }
  bool key(std::string& name) {
    next_is_list_ = depth_ == 1 && name == list_;
    return builder().key(name);
  }
  bool start_object(std::size_t size) {
    begin_element();
    return enter() && builder().start_object(size);
  }
  bool end_object() {
    --depth_;
    return builder().end_object() && end_element();
  }
  bool start_array(std::size_t size) {
    if (next_is_list_) {
      next_is_list_ = false;
      in_list_ = true;
      return fields_.null() && enter();
    }
    begin_element();
    return enter() && builder().start_array(size);
  }
  bool end_array() {
    --depth_;
    if (in_list_ && depth_ < list_depth) {
      in_list_ = false;
      return true;
    }
    return builder().end_array() && end_element();
  }
  static bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                          const json::exception& /*why*/) {
    return false;
  }

private:
  /// Open objects and arrays around an element of the list.
  static constexpr std::size_t list_depth = 2;

  dom_builder& builder() { return element_ ? *element_ : fields_; }
  bool enter() { return ++depth_ <= max_json_depth; }
  void begin_element() {
    next_is_list_ = false;
    if (in_list_ && !element_) {
      value_ = {};
      element_.emplace(value_, false);
    }
  }
  bool end_element() {
    if (!element_ || depth_ > list_depth) {
      return true;
    }
    element_.reset();
    return take_(value_);
  }
  template <class Event>
  bool value(Event event) {
    begin_element();
    return event(builder()) && end_element();
  }

  dom_builder fields_;
  std::string_view list_;
  const std::function<bool(const json&)>& take_;
  json value_;
  std::optional<dom_builder> element_;
  std::size_t depth_ = 0;
  bool next_is_list_ = false;
  bool in_list_ = false;
};

/// Major types of CBOR (RFC 8949, 3.1) with a count.
enum class cbor_type : std::uint8_t { array = 4, map = 5 };

/// Appends the head of an array or a map with a count of four bytes.
void append_head(std::string& to, cbor_type type, std::size_t count) {
  constexpr unsigned type_shift = 5;
  constexpr unsigned four_bytes_follow = 26;
  to.push_back(static_cast<char>(static_cast<unsigned>(type) << type_shift | four_bytes_follow));
  constexpr std::array<unsigned, 4> shifts = {24, 16, 8, 0};
  for (const unsigned shift : shifts) {
    to.push_back(static_cast<char>(count >> shift & 0xffU));
  }
}

} // namespace

result<json> parse_cbor_list(std::string_view bytes, std::string_view list,
                             const std::function<bool(const json&)>& take) {
  json fields;
  list_builder builder(fields, list, take);
  bool ok = false;
  try {
    ok = json::sax_parse(bytes.begin(), bytes.end(), &builder,
                         nlohmann::detail::input_format_t::cbor);
  } catch (const json::exception&) {
    // The library throws on container lengths that cannot be represented.
    ok = false;
  }
  if (!ok) {
    return error{error_code::protocol, "malformed or too deeply nested document"};
  }
  return fields;
}

void append_cbor_list(std::string& to, const json& fields, std::string_view list, std::size_t size,
                      const std::function<json(std::size_t)>& element) {
  append_head(to, cbor_type::map, fields.size() + 1);
  for (const auto& [name, value] : fields.items()) {
    json::to_cbor(json(name), to);
    json::to_cbor(value, to);
  }
  json::to_cbor(json(std::string(list)), to);
  append_head(to, cbor_type::array, size);
  for (std::size_t n = 0; n < size; ++n) {
    json::to_cbor(element(n), to);
  }
}

} // namespace boragedoor

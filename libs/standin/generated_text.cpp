#include "standin/generated_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include "base/hash.h"

namespace boragedoor::standin {

namespace {

constexpr std::array<std::string_view, 32> words{
    "amber",  "signal", "green",   "phase",  "north", "south",   "cycle",  "offset",
    "queue",  "lane",   "counter", "pedal",  "motor", "belt",    "switch", "cable",
    "spring", "carbon", "contact", "repair", "clean", "replace", "test",   "plan",
    "split",  "hold",   "release", "early",  "late",  "bridge",  "ramp",   "corridor"};

constexpr double mean_length = 48;
constexpr std::int64_t longest = 4096;
// One text in this many is a straggler, which a group of samples has to wait for.
constexpr std::uint64_t straggler_share = 32;
constexpr double straggler_factor = 8;

std::optional<std::int64_t> length_marker(std::string_view prompt) {
  constexpr std::string_view marker = "length=";
  const auto place = prompt.find(marker);
  if (place == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = prompt.substr(place + marker.size());
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
  if (ec != std::errc() || n < 1) {
    return std::nullopt;
  }
  return n;
}

std::int64_t draw_length(std::uint64_t base) {
  const std::uint64_t draw = hash64("length", base);
  // The upper 53 bits as a fraction from 0 to 1.
  const double fraction = static_cast<double>(draw >> 11U) * 0x1.0p-53;
  const double factor = draw % straggler_share == 0 ? straggler_factor : 1;
  const double length = -std::log1p(-fraction) * mean_length * factor;
  return std::clamp(static_cast<std::int64_t>(length), std::int64_t{1}, longest);
}

} // namespace

generated_text::generated_text(std::string_view prompt, std::uint64_t seed)
    : base_(hash64(prompt, seed)), length_(length_marker(prompt).value_or(draw_length(base_))) {}

std::string generated_text::token(std::int64_t index) const {
  const std::uint64_t draw = hash64(std::to_string(index), base_);
  return std::string(words.at(draw % words.size())) + ' ';
}

generated_text::resume_point generated_text::find_resume_point(std::string_view text) const {
  std::string_view rest = text;
  for (std::int64_t index = 0; index < length_; ++index) {
    const std::string next = token(index);
    if (rest.size() < next.size()) {
      if (next.starts_with(rest)) {
        return {index, rest.size()};
      }
      break;
    }
    if (!rest.starts_with(next)) {
      break;
    }
    rest.remove_prefix(next.size());
  }
  if (rest.empty()) {
    return {length_, 0};
  }
  return {std::count(text.begin(), text.end(), ' '), 0};
}

} // namespace boragedoor::standin

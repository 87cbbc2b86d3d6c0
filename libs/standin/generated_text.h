#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace boragedoor::standin {

/// The text that every engine stand-in generates for a prompt and a seed. Each token is a word and
/// a space. It depends on nothing else, so a text can be resumed on any engine.
class generated_text {
public:
  generated_text(std::string_view prompt, std::uint64_t seed);

  /// Number of tokens without a bound by the caller. A prompt that contains "length=N" sets it;
  /// otherwise most lengths are near 48 and one in 32 is eight times as long.
  [[nodiscard]] std::int64_t natural_length() const { return length_; }

  [[nodiscard]] std::string token(std::int64_t index) const;

  /// Where to go on after a text that was generated before.
  struct resume_point {
    std::int64_t index = 0;
    /// Bytes of that token which the text already has.
    std::size_t bytes = 0;
  };

  /// A text that this generator did not make is taken as one token for each of its words.
  [[nodiscard]] resume_point find_resume_point(std::string_view text) const;

private:
  std::uint64_t base_;
  std::int64_t length_;
};

/// Prompt tokens as the engine counts them: one for every four bytes.
constexpr std::int64_t prompt_tokens(std::size_t bytes) {
  return static_cast<std::int64_t>((bytes + 3) / 4);
}

} // namespace boragedoor::standin

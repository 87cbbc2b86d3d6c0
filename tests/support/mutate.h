#pragma once

#include <string>

#include "base/random.h"
#include "support/fault_store.h"
#include "support/property.h"

namespace boragedoor::testing {

/// Damages a document: changes, removes or repeats some bytes.
inline std::string mutate(std::string text, random_engine& random) {
  const std::uint64_t changes = 1 + pick(random, 4);
  for (std::uint64_t n = 0; n < changes && !text.empty(); ++n) {
    const std::size_t at = pick(random, text.size());
    switch (pick(random, 4)) {
    case 0:
      text[at] = static_cast<char>(pick(random, 256));
      break;
    case 1:
      text.erase(at, 1 + pick(random, 8));
      break;
    case 2:
      text.insert(at, text.substr(pick(random, text.size()), pick(random, 12)));
      break;
    default:
      text[at] = "0123456789-.{}[],:\"tfn"[pick(random, 22)];
    }
  }
  return text;
}

/// Checks that `parse` never crashes on damaged documents and that whatever it accepts survives
/// its own text form.
template <class Parse>
void check_damaged(const std::string& text, Parse parse) {
  const auto seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
  random_engine random(seed);
  for (int n = 0; n < 20; ++n) {
    const auto read = parse(mutate(text, random));
    if (read) {
      const auto again = parse(to_text(read.value()));
      RC_ASSERT(again.has_value());
      RC_ASSERT(again.value() == read.value());
    }
  }
}

} // namespace boragedoor::testing

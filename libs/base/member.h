#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/hash.h"

namespace boragedoor {

/// What the platform's list says about an instance.
enum class member_state { live, draining, leaving };

/// One instance on the platform's list.
struct member {
  std::string id;
  std::string data_centre;
  std::string region;
  /// "host:port" of the listener for other instances.
  std::string address;
  member_state state = member_state::live;

  friend bool operator==(const member&, const member&) = default;
};

/// Weight of `candidate` for `subject` in rendezvous hashing: the highest weight ranks first.
inline std::uint64_t rendezvous_weight(std::string_view subject, std::string_view candidate) {
  return hash64(candidate, hash64(subject));
}

} // namespace boragedoor

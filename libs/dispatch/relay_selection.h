#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "net/http_types.h"

namespace boragedoor::dispatch {

/// Another instance that can forward requests to endpoints.
struct endpoint_relay {
  net::address address;
  /// Whether it is in the data centre of this instance.
  bool near = false;
};

/// Chooses the instance that forwards a request while this one is cut off from the endpoints.
///
/// Design note: others may be cut off as well, often a whole data centre at once, and each instance
/// learns this only from their responses. One that has forwarded a request is therefore used again,
/// and relays in the own data centre are preferred only as long as none of them has failed.
class relay_selection {
public:
  void set_relays(std::vector<endpoint_relay> relays) { relays_ = std::move(relays); }

  /// Returns a relay other than those in `tried`, or nothing if there is none.
  [[nodiscard]] std::optional<net::address> choose(std::span<const net::address> tried,
                                                   time_point now, random_engine& random);
  /// Records that a relay has forwarded a request.
  void note_forwarded(const net::address& relay) { preferred_ = relay; }
  /// Records that a relay could not be reached or is cut off itself.
  void note_failed(const net::address& relay, time_point now);

private:
  [[nodiscard]] bool is_avoided(const endpoint_relay& it, time_point now) const;

  std::vector<endpoint_relay> relays_;
  /// The relay that forwarded the last request.
  std::optional<net::address> preferred_;
  /// When relays last failed.
  std::map<net::address, time_point> failed_at_;
};

} // namespace boragedoor::dispatch

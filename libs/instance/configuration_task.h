#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include <sigc++/signal.h>

#include "dispatch/service_configuration.h"
#include "instance/instance_context.h"
#include "instance/prefix_watch.h"

namespace boragedoor::instance {

/// A version of a model's weights that a trainer published.
struct named_version {
  std::string model;
  std::uint64_t version = 0;
};

/// A request to empty an instance that has a disk, so that it can be removed.
struct retire_request {
  std::string instance;
};

/// A request to send nothing to the endpoints of a data centre, as long as its entry exists.
struct evacuation_request {
  std::string data_centre;
};

/// An operator entry that this process does not recognize or cannot parse.
struct ignored_entry {
  std::string reason;
};

using operator_entry = std::variant<dispatch::service_configuration, named_version, retire_request,
                                    evacuation_request, ignored_entry>;

/// Decodes an operator entry. The value of a removed entry is empty.
using operator_decoder =
    std::function<operator_entry(std::string_view key, std::string_view value)>;

/// Follows the entries that operators and trainers write to the store, and applies new
/// configurations.
class configuration_task {
public:
  configuration_task(instance_context& context, const std::string& prefix, operator_decoder decode);

  void start() { watch_.start(); }

  /// Emitted after a newer configuration took effect.
  sigc::signal<void()> applied;
  sigc::signal<void(const named_version&)> version_named;
  sigc::signal<void(const retire_request&)> retire_requested;
  /// Emitted when the entry of an evacuation was written, and when it is gone.
  sigc::signal<void(const evacuation_request&, bool in_force)> evacuation_changed;

private:
  void apply_entry(const stored_item& it);
  void apply_removal(const std::string& key);
  void apply(dispatch::service_configuration next);

  instance_context& context_;
  operator_decoder decode_;
  prefix_watch watch_;
};

} // namespace boragedoor::instance

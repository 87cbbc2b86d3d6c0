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

/// An operator entry that this process does not recognize or cannot parse.
struct ignored_entry {
  std::string reason;
};

using operator_entry =
    std::variant<dispatch::service_configuration, named_version, retire_request, ignored_entry>;

/// Decodes an operator entry.
using operator_decoder =
    std::function<operator_entry(std::string_view key, std::string_view value)>;

/// Follows the entries that operators and trainers write to the store, and applies new
/// configurations.
class configuration_task {
public:
  configuration_task(instance_context& context, const std::string& prefix, operator_decoder decode);

  void start() { watch_.start(); }
  [[nodiscard]] bool is_started() const { return watch_.is_started(); }

  /// Emitted after a newer configuration took effect.
  sigc::signal<void()> applied;
  sigc::signal<void(const named_version&)> version_named;
  sigc::signal<void(const retire_request&)> retire_requested;

private:
  void apply_entry(const stored_item& it);
  void apply(dispatch::service_configuration next);

  instance_context& context_;
  operator_decoder decode_;
  prefix_watch watch_;
};

} // namespace boragedoor::instance

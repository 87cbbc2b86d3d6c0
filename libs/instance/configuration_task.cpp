#include "instance/configuration_task.h"

#include <utility>

#include "base/overloaded.h"

namespace boragedoor::instance {

configuration_task::configuration_task(instance_context& context, const std::string& prefix,
                                       operator_decoder decode)
    : context_(context), decode_(std::move(decode)),
      watch_(context.loop, context.store, prefix, {.wait = prompt_watch_wait},
             {.on_put = [this](const stored_item& it) { apply_entry(it); },
              .on_removed = [this](const std::string& key) { apply_removal(key); },
              .on_synced = nullptr,
              .on_reachable =
                  [this](bool reachable) {
                    context_.record(reachable ? events::event_number::store_available
                                              : events::event_number::store_unavailable,
                                    {}, {}, {{"watch", "operators"}});
                  }}) {}

void configuration_task::apply_entry(const stored_item& it) {
  operator_entry entry = decode_(it.key, it.value);
  std::visit(
      overloaded{
          [this](dispatch::service_configuration& next) { apply(std::move(next)); },
          [this](const named_version& published) {
            context_.record(events::event_number::weights_announced, {}, {},
                            {{"model", published.model}, {"version", published.version}});
            version_named.emit(published);
          },
          [this](const retire_request& request) { retire_requested.emit(request); },
          [this](const evacuation_request& request) { evacuation_changed.emit(request, true); },
          [this, &it](const ignored_entry& ignored) {
            context_.record(events::event_number::store_document_damaged, {}, {},
                            {{"key", it.key}, {"reason", ignored.reason}});
          }},
      entry);
}

void configuration_task::apply_removal(const std::string& key) {
  // Operators replace the other entries; after a removal the last value stays in effect.
  const operator_entry entry = decode_(key, {});
  if (const auto* request = std::get_if<evacuation_request>(&entry)) {
    evacuation_changed.emit(*request, false);
  }
}

void configuration_task::apply(dispatch::service_configuration next) {
  const std::uint64_t version = next.version;
  if (!context_.routes.apply(std::move(next))) {
    context_.record(events::event_number::configuration_rejected, {}, {},
                    {{"version", version}, {"in_force", context_.routes.version()}});
    return;
  }
  context_.record(events::event_number::configuration_applied, {}, {}, {{"version", version}});
  applied.emit();
}

} // namespace boragedoor::instance

#include "endpoint_links.h"

namespace boragedoor::platform {

std::vector<std::unique_ptr<link_stand_in>>
put_links_before(net::event_loop& loop, dispatch::service_endpoints& endpoints) {
  std::vector<dispatch::endpoint_entry> entries;
  endpoints.for_each([&](const dispatch::endpoint_entry& it) { entries.push_back(it); });
  std::vector<std::unique_ptr<link_stand_in>> links;
  links.reserve(entries.size());
  for (dispatch::endpoint_entry& it : entries) {
    links.push_back(std::make_unique<link_stand_in>(loop, it.address));
    it.address = links.back()->address();
    endpoints.put(it);
  }
  return links;
}

void set_links(const std::vector<std::unique_ptr<link_stand_in>>& links, link_state state) {
  for (const auto& it : links) {
    it->set_state(state);
  }
}

} // namespace boragedoor::platform

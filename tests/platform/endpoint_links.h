#pragma once

#include <memory>
#include <vector>

#include "dispatch/service_endpoints.h"
#include "link_stand_in.h"

namespace boragedoor::platform {

/// Puts a link before each endpoint that an instance knows. Returns the links, which are open.
std::vector<std::unique_ptr<link_stand_in>>
put_links_before(net::event_loop& loop, dispatch::service_endpoints& endpoints);

/// Sets the state of each link.
void set_links(const std::vector<std::unique_ptr<link_stand_in>>& links, link_state state);

} // namespace boragedoor::platform

#pragma once

#include <functional>
#include <set>
#include <string>

#include "instance/configuration_task.h"
#include "instance/instance_context.h"
#include "instance/member_task.h"

namespace boragedoor::instance {

/// Makes the document that tells the operator that an instance is empty and may be removed.
using retired_document = std::function<stored_value(const retire_request&)>;

/// Confirms that instances with a disk may be removed. Nothing is kept on their disks, so this is
/// true at once.
class duty_task {
public:
  duty_task(instance_context& context, member_task& members, retired_document confirm);

  void start();
  void retire(const retire_request& it) { retiring_.insert(it.instance); }

private:
  void tick();

  instance_context& context_;
  member_task& members_;
  retired_document confirm_;
  std::set<std::string> retiring_;
  bool call_open_ = false;
  net::timer timer_;
};

} // namespace boragedoor::instance

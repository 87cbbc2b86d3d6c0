#pragma once

#include <functional>
#include <set>
#include <string>

#include "instance/configuration_task.h"
#include "instance/instance_context.h"
#include "instance/member_task.h"

namespace boragedoor::instance {

/// Encodes the document that tells the operator that an instance is empty and may be removed.
using retirement_encoder = std::function<stored_value(const retire_request&)>;

/// Confirms to the operator that instances with a disk may be removed. Instances keep no data on
/// their disks, so each request is confirmed without a check.
class duty_task {
public:
  duty_task(instance_context& context, member_task& members, retirement_encoder encode);

  void start();
  void retire(const retire_request& request) { retiring_.insert(request.instance); }

private:
  void tick();

  instance_context& context_;
  member_task& members_;
  retirement_encoder encode_;
  std::set<std::string> retiring_;
  bool commit_in_progress_ = false;
  net::timer timer_;
};

} // namespace boragedoor::instance

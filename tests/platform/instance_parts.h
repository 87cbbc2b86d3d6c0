#pragma once

#include <memory>
#include <string>

#include "instance/instance_context.h"
#include "platform/replica_protocol.h"
#include "platform/store_client.h"

namespace boragedoor::platform {

/// The context of one instance, for tests of single tasks. The instance has the boot id "b" and is
/// in data centre "z1".
struct instance_parts {
  instance_parts(net::event_loop& loop, net::address store, const std::string& name)
      : calls(loop), outgoing(loop, calls, protocol, 1),
        store_calls(loop, std::move(store), [](auto, auto, auto) {}),
        log(events::event_log::create({.instance = name, .boot = "b", .path = ""}).value()),
        context{.loop = loop,
                .budget = http1::byte_budget::create(loop),
                .calls = calls,
                .outgoing = outgoing,
                .store = store_calls,
                .protocol = protocol,
                .log = *log,
                .metrics = metrics,
                .identity = {name, "b", "z1", "r1"},
                .routes = {},
                .endpoints = dispatch::service_endpoints::create("z1").value(),
                .random = random_engine(1)} {}

  http1::client calls;
  replica_protocol protocol;
  instance::endpoint_calls outgoing;
  store_client store_calls;
  metrics::registry metrics;
  std::unique_ptr<events::event_log> log;
  instance::instance_context context;
};

} // namespace boragedoor::platform

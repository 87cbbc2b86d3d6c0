#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/checked.h"
#include "base/time.h"
#include "events/catalogue.h"
#include "net/http_types.h"

namespace boragedoor::settings {

/// [instance]: who this process is. A process learns its place only from here.
struct instance_settings {
  std::string id;
  std::string data_centre;
  std::string region;
};

/// [listen]: addresses to listen on. Port 0 takes any free port.
struct listen_settings {
  net::address callers;
  net::address peers;
};

/// [platform]: addresses of the platform's services.
struct platform_settings {
  net::address store;
  net::address instance_list;
  net::address ordering;
  net::address usage_intake;
  net::address weight_store;
};

/// [operator]: SHA-256 of the operator token as 64 lower-case hexadecimal digits.
struct operator_settings {
  std::string token_sha256;
};

/// [events]: where events go and from which severity on.
struct events_settings {
  /// File of JSON lines; "-" is standard error, empty writes none.
  std::string file = "-";
  events::severity level = events::severity::info;
};

/// [data]: local files.
struct data_settings {
  /// Folder for local state; empty on instances without a disk.
  std::string folder;
};

/// [limits]: what the listener for callers accepts. The defaults are those of the design page.
struct limits_settings {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 1024UL * 1024;
  /// Requests that may be open at once. The target is 13 requests/s per instance; streams of two
  /// minutes and a factor of two for lost neighbours make about 3,100.
  std::size_t max_open_requests = 4096;
};

/// [timing]: in milliseconds. Where the design page states a value, the default is that value.
struct timing_settings {
  milliseconds lease_ttl{6000};
  milliseconds lease_renew{2000};
  milliseconds heartbeat{1000};
  milliseconds list_poll{2000};
  milliseconds isolation_limit{10000};
  /// How long callers may keep an answer of the address lookup.
  milliseconds address_keep{5000};
  milliseconds usage_flush{1000};
  milliseconds usage_window{60000};
  /// Time after the end of a usage window in which its figures may still arrive.
  milliseconds usage_grace{10000};
  /// Longest time without a byte from an endpoint before its attempt counts as silent.
  milliseconds progress_timeout{10000};
  /// Longest time a drain waits for running requests.
  milliseconds drain_limit{120000};
};

/// Settings of the daemon, read from an INI file. docs/settings.md lists every key.
struct daemon_settings {
  instance_settings instance;
  listen_settings listen;
  platform_settings platform;
  operator_settings operators;
  events_settings events;
  data_settings data;
  limits_settings limits;
  timing_settings timing;

  /// Checks INI text and returns settings or all findings; `file` names the source in findings.
  static checked<daemon_settings> parse(std::string_view text, std::string_view file);

  /// Reads and checks a file. A file that cannot be read is one finding.
  static checked<daemon_settings> load(const std::string& path);
};

} // namespace boragedoor::settings

#include <iomanip>
#include <ostream>
#include <sstream>

#include "events/explain.h"
#include "events/timeline.h"
#include "events/timeline_svg.h"
#include "tool/connect.h"
#include "tool/flags.h"
#include "tool/handlers.h"
#include "tool/table.h"

namespace boragedoor::tool {

namespace {

/// Replies that are read from one daemon at most. Each has up to the size of its memory buffer.
constexpr int max_replies = 100;

error usage_error(std::string message) {
  return {error_code::invalid_argument, std::move(message)};
}

/// Parses 2026-12-04T06:00:00Z or milliseconds since 1970. An empty text sets no bound.
result<std::optional<wall_time>> parse_time(const std::string& text) {
  if (text.empty()) {
    return std::nullopt;
  }
  std::istringstream in(text);
  if (text.find('T') == std::string::npos) {
    std::int64_t ms = 0;
    in >> ms;
    constexpr std::int64_t greatest = 1LL << 43; // Beyond the year 2200.
    if (in && in.peek() == std::istringstream::traits_type::eof() && ms >= 0 && ms < greatest) {
      return wall_time(milliseconds(ms));
    }
  } else {
    std::tm it{};
    in >> std::get_time(&it, "%Y-%m-%dT%H:%M:%S");
    if (in && in.get() == 'Z' && in.peek() == std::istringstream::traits_type::eof()) {
      using namespace std::chrono;
      const year_month_day date(year(it.tm_year + 1900), month(it.tm_mon + 1U), day(it.tm_mday));
      return wall_time(sys_days(date) + hours(it.tm_hour) + minutes(it.tm_min) +
                       seconds(it.tm_sec));
    }
  }
  return usage_error("'" + text + "' is no time; write 2026-12-04T06:00:00Z");
}

result<void> read_files(command_context& context, events::event_batch& into) {
  std::istringstream names(FLAGS_file);
  for (std::string name; std::getline(names, name, ',');) {
    BOOST_OUTCOME_TRY(text, read_file(context, name));
    events::read_events(text, name, into);
  }
  return success();
}

/// Reads everything that one daemon has in memory.
result<void> read_daemon(admin_client& client, const net::address& target,
                         events::event_batch& into) {
  std::uint64_t after = 0;
  std::uint64_t evicted = 0;
  for (int n = 0; n < max_replies; ++n) {
    const std::string path = "/admin/events?after=" + std::to_string(after);
    BOOST_OUTCOME_TRY(reply, client.call_target(target, {"GET", path, {}, true, {}}));
    constexpr int http_ok = 200;
    if (reply.status != http_ok) {
      return to_error(reply);
    }
    const std::size_t before = into.events.size();
    BOOST_OUTCOME_TRY(events::read_reply(reply.body, to_string(target), into));
    evicted = static_cast<std::uint64_t>(
        std::max<std::int64_t>(integer_field(reply.body, "evicted").value_or(0), 0));
    const std::uint64_t reached = after;
    for (std::size_t i = before; i < into.events.size(); ++i) {
      after = std::max(after, into.events[i].sequence);
    }
    if (after == reached) {
      break;
    }
  }
  into.evicted += evicted;
  return success();
}

/// Asks each daemon. One that does not answer is reported, and the others are shown.
result<bool> read_daemons(command_context& context, events::event_batch& into) {
  BOOST_OUTCOME_TRY(client, connect(context));
  bool complete = true;
  for (const auto& target : client->targets()) {
    if (const auto done = read_daemon(*client, target, into); !done) {
      fail(context, done.error());
      complete = false;
    }
  }
  return complete;
}

void report_gaps(std::ostream& err, const events::event_batch& batch,
                 const events::timeline& merged) {
  err << to_string(batch.problems);
  std::uint64_t missing = 0;
  for (const auto& it : merged.processes) {
    missing += it.missing;
  }
  const std::pair<std::uint64_t, const char*> counts[] = {
      {batch.malformed_lines, "malformed lines were left out"},
      {batch.evicted, "events had left the daemons' memory; read their event files as well"},
      {missing, "events are missing between others of their process"},
      {merged.conflicting, "events were left out because another one has the same id"},
      {merged.unknown_causes, "events name a cause that is in no source"},
      {merged.contradicting_causes, "cause links contradict the others and were ignored"},
  };
  for (const auto& [n, text] : counts) {
    if (n != 0) {
      err << "boragedoor: " << n << ' ' << text << '\n';
    }
  }
}

std::string table_of(const events::timeline& it) {
  json rows = json::array();
  for (const auto& entry : it.entries) {
    const auto& what = entry.what;
    rows.push_back({{"time", events::format_time(entry.at)},
                    {"instance", what.instance},
                    {"sequence", what.sequence},
                    {"event", events::describe(what.number).name},
                    {"request", what.request},
                    {"endpoint", what.endpoint},
                    {"workspace", what.workspace},
                    {"shard", what.shard},
                    {"cause", what.cause}});
  }
  constexpr std::string_view columns[] = {"time",     "instance",  "sequence", "event", "request",
                                          "endpoint", "workspace", "shard",    "cause"};
  return format_table(columns, rows);
}

int explain(command_context& context, const events::timeline& all) {
  const auto lines = FLAGS_request.empty() ? events::explain_shard(all, FLAGS_shard)
                                           : events::explain_request(all, FLAGS_request);
  if (lines.empty()) {
    return fail(context, error{error_code::not_found,
                               "no such event; widen the sources, or list them without --explain"});
  }
  if (FLAGS_json) {
    context.out << to_text({{"lines", lines}}) << '\n';
  } else {
    for (const auto& it : lines) {
      context.out << it << '\n';
    }
  }
  return exit_ok;
}

int show(command_context& context, const events::event_batch& batch, const events::timeline& kept) {
  if (!FLAGS_svg.empty()) {
    const auto written = write_output(context, FLAGS_svg, events::to_svg(kept));
    return written ? exit_ok : fail(context, written.error());
  }
  if (FLAGS_json) {
    json value = events::to_json(kept);
    value["malformed_lines"] = batch.malformed_lines;
    value["evicted"] = batch.evicted;
    context.out << to_text(value) << '\n';
  } else {
    context.out << table_of(kept);
  }
  return exit_ok;
}

result<events::event_filter> filter_from_options() {
  events::event_filter it;
  it.request = FLAGS_request;
  it.endpoint = FLAGS_endpoint;
  it.workspace = FLAGS_workspace;
  it.shard = FLAGS_shard;
  BOOST_OUTCOME_TRY(since, parse_time(FLAGS_since));
  BOOST_OUTCOME_TRY(until, parse_time(FLAGS_until));
  it.since = since;
  it.until = until;
  if (FLAGS_explain && it.request.empty() == it.shard.empty()) {
    return usage_error("--explain needs either --request or --shard");
  }
  return it;
}

} // namespace

int timeline(command_context& context) {
  const auto filter = filter_from_options();
  if (!filter) {
    return fail_usage(context, filter.error().message);
  }
  events::event_batch batch;
  if (const auto done = read_files(context, batch); !done) {
    return fail(context, done.error());
  }
  bool complete = true;
  // Files alone are enough; daemons are asked when the command line names them or no file.
  if (FLAGS_file.empty() || !FLAGS_target.empty()) {
    const auto asked = read_daemons(context, batch);
    if (!asked) {
      return fail_connect(context, asked.error());
    }
    complete = asked.value();
  }
  const auto merged = events::merge_events(std::move(batch.events));
  report_gaps(context.err, batch, merged);
  const auto kept = events::apply_filter(merged, filter.value());
  const int status = FLAGS_explain ? explain(context, kept) : show(context, batch, kept);
  return complete ? status : exit_failed;
}

} // namespace boragedoor::tool

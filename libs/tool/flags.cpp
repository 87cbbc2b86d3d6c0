#include "tool/flags.h"

DEFINE_string(target, "",
              "Addresses of daemons as ip:port, separated by commas and tried in this order. "
              "Without it the environment variable BORAGEDOOR_TARGET is used.");
DEFINE_string(token_file, "",
              "File with the operator token. Without it the environment variable "
              "BORAGEDOOR_TOKEN is used.");
DEFINE_bool(json, false, "Print JSON for programs instead of a table.");
DEFINE_int32(timeout_ms, 10000, "Longest time of one request to a daemon in milliseconds.");
DEFINE_string(previous, "", "Configuration document whose revision and issued keys are kept.");
DEFINE_string(output, "", "File to write instead of standard output.");
DEFINE_bool(questionnaire, false,
            "FILE is a questionnaire. The configuration is generated from it and keeps the keys "
            "of the accepted configuration.");
DEFINE_int64(based_on, -1,
             "Revision that the proposal is based on; -1 takes the revision in the document.");
DEFINE_bool(dry_run, false, "Show the changes against the accepted configuration and stop.");
DEFINE_string(workspace, "", "Show only what belongs to this workspace.");
DEFINE_string(window, "",
              "Number of a usage window. Without it the last complete window is shown.");
DEFINE_string(file, "", "Event files in JSON lines, separated by commas; - is standard input.");
DEFINE_string(request, "", "Show only events of this request.");
DEFINE_string(endpoint, "", "Show only events of this endpoint.");
DEFINE_string(shard, "", "Show only events of this shard, for example dc/norte.");
DEFINE_string(since, "",
              "Show only events from this time on: 2026-12-04T06:00:00Z, or milliseconds since "
              "1970 (UTC).");
DEFINE_string(until, "", "Show only events before this time, in the same forms.");
DEFINE_bool(explain, false, "Explain in a few lines what happened to the request or the shard.");
DEFINE_string(svg, "", "File that receives the timeline as an SVG picture.");
DEFINE_bool(page, false, "Print the reference page in Markdown.");

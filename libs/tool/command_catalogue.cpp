#include <array>

#include "tool/command.h"
#include "tool/handlers.h"

namespace boragedoor::tool {

namespace {

using options = std::vector<std::string_view>;

/// Options of commands that ask a daemon, with further ones before them.
options daemon_options(options more = {}) {
  for (const std::string_view it : {"target", "token_file", "timeout_ms", "json"}) {
    more.push_back(it);
  }
  return more;
}

command questionnaire_check_command() {
  return {
      "questionnaire check",
      "FILE",
      1,
      1,
      "Check a questionnaire.",
      "Reads the questionnaire of a team from FILE (- is standard input) and reports all\n"
      "findings in one run, each with the JSON path of the field, the problem and the remedy.\n"
      "No daemon is needed. docs/questionnaire.md explains the fields.",
      {"json"},
      {{"Check a sample", "boragedoor questionnaire check samples/sinaltec/questionnaire.json"}},
      {"questionnaire generate", "config propose"},
      questionnaire_check};
}

command questionnaire_generate_command() {
  return {"questionnaire generate",
          "FILE",
          1,
          1,
          "Generate a configuration from a questionnaire.",
          "Writes the configuration document that follows from the questionnaire in FILE. With\n"
          "--previous the revision and the issued keys of workspaces that stay are kept. The same\n"
          "input gives the same document. Nothing is proposed.",
          {"previous", "output"},
          {{"Generate a first configuration",
            "boragedoor questionnaire generate team.json --output=configuration.json"},
           {"Generate the next one and keep the keys",
            "boragedoor questionnaire generate team.json --previous=configuration.json"}},
          {"questionnaire check", "config propose", "config diff"},
          questionnaire_generate};
}

command config_propose_command() {
  return {
      "config propose",
      "FILE",
      1,
      1,
      "Propose a configuration.",
      "Proposes the configuration document in FILE, or with --questionnaire the configuration\n"
      "that follows from the questionnaire in FILE and the accepted configuration. The proposal\n"
      "is refused when another one was accepted since the revision it is based on; the changes\n"
      "made meanwhile are then listed. A proposal is sent to the next target only when the one\n"
      "before certainly did not get it. Otherwise the outcome is unknown, and the message names\n"
      "the proposal id that 'boragedoor config show' shows if it was accepted.",
      daemon_options({"questionnaire", "based_on", "dry_run"}),
      {{"Show what a revised questionnaire would change",
        "boragedoor config propose --questionnaire --dry_run team.json"},
       {"Propose it", "boragedoor config propose --questionnaire team.json"}},
      {"config diff", "config show", "config status"},
      config_propose};
}

command config_show_command() {
  return {
      "config show",
      "",
      0,
      0,
      "Show the accepted configuration.",
      "Shows the accepted configuration as tables, or as the whole document with --json, which\n"
      "'questionnaire generate --previous' and 'config diff' read. Key hashes are part of the\n"
      "document; keys are not.",
      daemon_options(),
      {{"Save the accepted configuration", "boragedoor config show --json > configuration.json"}},
      {"config propose", "config diff", "config status"},
      config_show};
}

command config_diff_command() {
  return {
      "config diff",
      "[FILE] FILE",
      1,
      2,
      "Compare two configurations.",
      "Lists the changes from the first document to the second, one on each line. With one FILE\n"
      "the first is the accepted configuration. Revision and proposal id are not compared. No\n"
      "daemon is needed for two files. Differences do not change the exit status.",
      daemon_options(),
      {{"Compare two documents", "boragedoor config diff before.json after.json"},
       {"Compare the accepted configuration with a document",
        "boragedoor config diff configuration.json"}},
      {"config propose", "config show"},
      config_diff};
}

command config_status_command() {
  return {"config status",
          "",
          0,
          0,
          "Show which revision is in force on each instance.",
          "Lists the instances with the revision in force, the age of that knowledge in\n"
          "milliseconds and their state.",
          daemon_options(),
          {{"Watch a revision arrive", "boragedoor config status"}},
          {"config propose", "instance list"},
          config_status};
}

command key_issue_command() {
  return {"key issue",
          "WORKSPACE",
          1,
          1,
          "Issue a key to a workspace.",
          "Issues a key and prints it on standard output. The key is shown this once; the system\n"
          "keeps its hash only. The request is sent to the next target only when the one before\n"
          "certainly did not get it. Otherwise the outcome is unknown: find the new key with 'key\n"
          "list' and withdraw it, because nobody received it.",
          daemon_options(),
          {{"Store a new key in a file", "boragedoor key issue capital > capital.key"}},
          {"key list", "key withdraw"},
          key_issue};
}

command key_withdraw_command() {
  return {
      "key withdraw",
      "KEY_ID",
      1,
      1,
      "Withdraw a key.",
      "Withdraws the key with this id, which 'key list' shows. New requests, open connections\n"
      "and running streams with the key end within seconds. The reply says how many instances\n"
      "know of the withdrawal and whether the store has it. Repeating the command does no harm.",
      daemon_options(),
      {{"Withdraw a key", "boragedoor key withdraw 0123456789abcdef"}},
      {"key list", "key issue"},
      key_withdraw};
}

command key_list_command() {
  return {"key list",
          "",
          0,
          0,
          "List the issued keys.",
          "Lists the ids of the issued keys with their workspace and the time of issue in\n"
          "milliseconds since 1970 (UTC). Keys themselves cannot be shown.",
          daemon_options({"workspace"}),
          {{"List the keys of one workspace", "boragedoor key list --workspace=capital"}},
          {"key issue", "key withdraw"},
          key_list};
}

command instance_list_command() {
  return {"instance list",
          "",
          0,
          0,
          "List the instances.",
          "Lists the instances that the asked daemon knows, with data centre, state and revision.",
          daemon_options(),
          {{"List the instances as JSON", "boragedoor instance list --json"}},
          {"instance drain", "config status"},
          instance_list};
}

command instance_drain_command() {
  return {
      "instance drain",
      "INSTANCE",
      1,
      1,
      "Drain an instance.",
      "Starts a graceful shutdown of an instance: it leaves the address lookup, finishes its\n"
      "requests, hands over its shards and ends. Repeating the command does no harm.",
      daemon_options(),
      {{"Drain an instance before its machine is replaced", "boragedoor instance drain norte-1"}},
      {"instance list"},
      instance_drain};
}

command endpoint_list_command() {
  return {"endpoint list",
          "",
          0,
          0,
          "List the endpoints.",
          "Lists the endpoints that the asked daemon knows, with pool, data centre and state.",
          daemon_options(),
          {{"List the endpoints", "boragedoor endpoint list"}},
          {"instance list", "timeline"},
          endpoint_list};
}

command usage_show_command() {
  return {
      "usage show",
      "",
      0,
      0,
      "Show the usage of the workspaces.",
      "Shows the frozen figures of a usage window for each workspace and request class. They\n"
      "never change. Usage that arrived after its own window was frozen is in a later one, with\n"
      "the number of its own window under late_from, which is 0 otherwise.",
      daemon_options({"window"}),
      {{"Show the last complete window", "boragedoor usage show"},
       {"Show an earlier window", "boragedoor usage show --window=29746"}},
      {"config show"},
      usage_show};
}

command timeline_command() {
  return {
      "timeline",
      "",
      0,
      0,
      "Merge the events of several processes.",
      "Reads event files and asks running daemons (each target, not only the first that\n"
      "answers) and prints the events in one order. The order follows the cause links between\n"
      "events and the sequence of each process. Clocks only decide between events that neither\n"
      "orders, after their offsets have been estimated from the cause links. Malformed lines,\n"
      "missing events and unknown causes are counted on standard error. Daemons are asked when\n"
      "--target or no --file is given.",
      daemon_options({"file", "request", "endpoint", "workspace", "shard", "since", "until",
                      "explain", "svg"}),
      {{"Explain a request", "boragedoor timeline --request=r-17 --explain"},
       {"Explain how a shard changed hands, from two files",
        "boragedoor timeline --file=a.jsonl,b.jsonl --shard=dc/norte --explain"},
       {"Draw a picture", "boragedoor timeline --file=a.jsonl --svg=timeline.svg"}},
      {"endpoint list", "instance list"},
      timeline};
}

command version_command() {
  return {"version",
          "",
          0,
          0,
          "Print the version.",
          "Prints the version of the tool.",
          {},
          {{"Print the version", "boragedoor version"}},
          {"help"},
          version};
}

command help_command() {
  return {
      "help",
      "[COMMAND]",
      0,
      2,
      "List the commands or explain one.",
      "Without a command all commands are listed. With --page the reference page is printed in\n"
      "Markdown; the files in docs/commands/ are made this way.",
      {"page"},
      {{"Explain a command", "boragedoor help config propose"}},
      {"version"},
      help};
}

} // namespace

std::span<const command> commands() {
  static const auto all = std::to_array<command>({
      questionnaire_check_command(),
      questionnaire_generate_command(),
      config_propose_command(),
      config_show_command(),
      config_diff_command(),
      config_status_command(),
      key_issue_command(),
      key_withdraw_command(),
      key_list_command(),
      instance_list_command(),
      instance_drain_command(),
      endpoint_list_command(),
      usage_show_command(),
      timeline_command(),
      version_command(),
      help_command(),
  });
  return all;
}

} // namespace boragedoor::tool

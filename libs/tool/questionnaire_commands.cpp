#include <ostream>

#include "configuration/generate.h"
#include "tool/flags.h"
#include "tool/handlers.h"

namespace boragedoor::tool {

namespace {

json to_json(const findings& list) {
  json array = json::array();
  for (const auto& it : list) {
    array.push_back(
        {{"file", it.file}, {"path", it.key}, {"problem", it.problem}, {"remedy", it.remedy}});
  }
  return array;
}

} // namespace

int questionnaire_check(command_context& context) {
  const std::string& path = context.arguments.front();
  const auto text = read_file(context, path);
  if (!text) {
    return fail(context, text.error());
  }
  const auto answers = config::questionnaire::parse(text.value(), path);
  const findings none;
  const findings& list = answers ? none : answers.error();
  if (FLAGS_json) {
    context.out << to_text({{"findings", to_json(list)}}) << '\n';
  } else if (answers) {
    context.out << path << ": no findings\n";
  } else {
    context.err << to_string(list);
  }
  return answers ? exit_ok : exit_failed;
}

int questionnaire_generate(command_context& context) {
  const std::string& path = context.arguments.front();
  const auto text = read_file(context, path);
  if (!text) {
    return fail(context, text.error());
  }
  const auto answers = config::questionnaire::parse(text.value(), path);
  if (!answers) {
    return fail(context, answers.error());
  }
  config::configuration previous;
  if (!FLAGS_previous.empty()) {
    const auto former_text = read_file(context, FLAGS_previous);
    if (!former_text) {
      return fail(context, former_text.error());
    }
    auto former = config::configuration::parse(former_text.value(), FLAGS_previous);
    if (!former) {
      return fail(context, former.error());
    }
    previous = std::move(former.value());
  }
  const auto next = config::generate(answers.value(), previous);
  const auto written = write_output(context, FLAGS_output, config::to_json(next).dump(2) + '\n');
  return written ? exit_ok : fail(context, written.error());
}

} // namespace boragedoor::tool

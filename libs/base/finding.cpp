#include "base/finding.h"

namespace boragedoor {

std::string to_string(const finding& it) {
  std::string text = it.file;
  if (it.line > 0) {
    text += ':' + std::to_string(it.line);
  }
  text += ": ";
  if (!it.key.empty()) {
    text += it.key + ": ";
  }
  text += it.problem;
  if (!it.remedy.empty()) {
    text += "; " + it.remedy;
  }
  return text;
}

std::string to_string(std::span<const finding> list) {
  std::string text;
  for (const auto& it : list) {
    text += to_string(it) + '\n';
  }
  return text;
}

} // namespace boragedoor

#include "metrics/registry.h"

#include <array>
#include <sstream>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace boragedoor::metrics {

namespace {

namespace acc = boost::accumulators;

std::string escape(std::string_view text) {
  std::string escaped;
  for (const char letter : text) {
    if (letter == '\\' || letter == '"') {
      escaped += '\\';
    }
    if (letter == '\n') {
      escaped += "\\n";
    } else {
      escaped += letter;
    }
  }
  return escaped;
}

std::string format(const labels& list) {
  std::string text;
  for (const auto& [key, value] : list) {
    text += (text.empty() ? "" : ",") + key + "=\"" + escape(value) + '"';
  }
  return text;
}

std::string braces(const std::string& inner) {
  return inner.empty() ? inner : '{' + inner + '}';
}

std::string join(const std::string& left, const std::string& right) {
  return left.empty() ? right : left + ',' + right;
}

constexpr std::array<double, 3> quantiles = {0.5, 0.95, 0.99};

} // namespace

struct distribution::impl {
  using quantile_set = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> totals;
  std::array<quantile_set, quantiles.size()> estimates{
      quantile_set(acc::quantile_probability = quantiles[0]),
      quantile_set(acc::quantile_probability = quantiles[1]),
      quantile_set(acc::quantile_probability = quantiles[2])};
};

distribution::distribution() : impl_(std::make_unique<impl>()) {}

distribution::~distribution() = default;

void distribution::add(double value) {
  impl_->totals(value);
  for (auto& it : impl_->estimates) {
    it(value);
  }
}

std::uint64_t distribution::count() const {
  return acc::count(impl_->totals);
}

double distribution::sum() const {
  return acc::sum(impl_->totals);
}

double distribution::quantile(double fraction) const {
  if (count() == 0) {
    return 0;
  }
  for (std::size_t n = 0; n < quantiles.size(); ++n) {
    if (quantiles[n] == fraction) {
      return acc::p_square_quantile(impl_->estimates[n]);
    }
  }
  return 0;
}

template <class Metric>
Metric& registry::get(families<Metric>& all, std::string_view name, std::string_view help,
                      const labels& list) {
  auto& entry = all[std::string(name)];
  if (entry.help.empty()) {
    entry.help = help;
  }
  auto& member = entry.members[format(list)];
  if (!member) {
    member = std::make_unique<Metric>();
  }
  return *member;
}

counter& registry::get_counter(std::string_view name, std::string_view help, const labels& list) {
  return get(counters_, name, help, list);
}

gauge& registry::get_gauge(std::string_view name, std::string_view help, const labels& list) {
  return get(gauges_, name, help, list);
}

distribution& registry::get_distribution(std::string_view name, std::string_view help,
                                         const labels& list) {
  return get(distributions_, name, help, list);
}

std::string registry::to_text() const {
  std::ostringstream out;
  out.precision(12);
  const auto head = [&out](const std::string& name, const std::string& help, const char* type) {
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
  };
  for (const auto& [name, entry] : counters_) {
    head(name, entry.help, "counter");
    for (const auto& [list, it] : entry.members) {
      out << name << braces(list) << ' ' << it->value() << '\n';
    }
  }
  for (const auto& [name, entry] : gauges_) {
    head(name, entry.help, "gauge");
    for (const auto& [list, it] : entry.members) {
      out << name << braces(list) << ' ' << it->value() << '\n';
    }
  }
  for (const auto& [name, entry] : distributions_) {
    head(name, entry.help, "summary");
    for (const auto& [list, it] : entry.members) {
      for (const double fraction : quantiles) {
        std::ostringstream label;
        label << "quantile=\"" << fraction << '"';
        out << name << braces(join(list, label.str())) << ' ' << it->quantile(fraction) << '\n';
      }
      out << name << "_sum" << braces(list) << ' ' << it->sum() << '\n';
      out << name << "_count" << braces(list) << ' ' << it->count() << '\n';
    }
  }
  return out.str();
}

} // namespace boragedoor::metrics

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace boragedoor::metrics {

/// Label names and values, for example {{"workspace", "north"}}.
using labels = std::vector<std::pair<std::string, std::string>>;

/// A value that only grows.
class counter {
public:
  void add(double amount = 1) { value_ += amount; }
  [[nodiscard]] double value() const { return value_; }

private:
  double value_ = 0;
};

/// A value that goes up and down.
class gauge {
public:
  void set(double value) { value_ = value; }
  [[nodiscard]] double value() const { return value_; }

private:
  double value_ = 0;
};

/// A stream of values with count, sum and the estimated 50th, 95th and 99th percentile
/// (Boost.Accumulators, P-square estimates, so memory does not grow with the stream).
class distribution {
public:
  distribution();
  ~distribution();
  distribution(const distribution&) = delete;
  distribution& operator=(const distribution&) = delete;
  distribution(distribution&&) = delete;
  distribution& operator=(distribution&&) = delete;

  void add(double value);
  [[nodiscard]] std::uint64_t count() const;
  [[nodiscard]] double sum() const;
  /// `fraction` is one of 0.5, 0.95 and 0.99; other values return 0.
  [[nodiscard]] double quantile(double fraction) const;

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Owns all metrics of a process. References stay valid as long as the registry lives.
class registry {
public:
  /// Returns the metric of that name and those labels and creates it at the first call. `help`
  /// names the unit; a metric's name ends in its unit.
  counter& get_counter(std::string_view name, std::string_view help, const labels& list = {});
  gauge& get_gauge(std::string_view name, std::string_view help, const labels& list = {});
  distribution& get_distribution(std::string_view name, std::string_view help,
                                 const labels& list = {});

  /// Writes all metrics in the Prometheus text format, sorted by name and labels.
  [[nodiscard]] std::string to_text() const;

private:
  template <class Metric>
  struct family {
    std::string help;
    std::map<std::string, std::unique_ptr<Metric>> members;
  };
  template <class Metric>
  using families = std::map<std::string, family<Metric>, std::less<>>;

  template <class Metric>
  static Metric& get(families<Metric>& all, std::string_view name, std::string_view help,
                     const labels& list);

  families<counter> counters_;
  families<gauge> gauges_;
  families<distribution> distributions_;
};

} // namespace boragedoor::metrics

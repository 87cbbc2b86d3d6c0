#include "events/timeline_svg.h"

#include <algorithm>
#include <map>

#include "events/explain.h"

namespace boragedoor::events {

namespace {

// Sizes in pixels.
constexpr int lane_width = 110;
constexpr int row_height = 22;
constexpr int top = 60;
constexpr int left = 200;
constexpr int label_width = 620;
constexpr int radius = 5;

/// Escapes text for XML and replaces characters that XML does not allow.
std::string escape(std::string_view text) {
  constexpr unsigned char first_printable = 0x20;
  std::string out;
  for (const char c : text) {
    switch (c) {
    case '<':
      out += "&lt;";
      break;
    case '>':
      out += "&gt;";
      break;
    case '&':
      out += "&amp;";
      break;
    case '"':
      out += "&quot;";
      break;
    default:
      out += static_cast<unsigned char>(c) < first_printable ? '?' : c;
    }
  }
  return out;
}

/// An attribute with a leading blank: ` name="value"`.
std::string attribute(std::string_view name, int value) {
  return ' ' + std::string(name) + "=\"" + std::to_string(value) + '"';
}

std::string_view colour_of(severity level) {
  switch (level) {
  case severity::debug:
    return "#7a7a7a";
  case severity::info:
    return "#1f6fb2";
  case severity::warning:
    return "#d08700";
  case severity::error:
    return "#c0262d";
  }
  return "#000000";
}

std::string label_of(const event& it) {
  std::string text(describe(it.number).name);
  for (const auto* part : {&it.request, &it.endpoint, &it.workspace, &it.shard}) {
    if (!part->empty()) {
      text += ' ' + *part;
    }
  }
  return text;
}

class svg_writer {
public:
  explicit svg_writer(const timeline& it)
      : timeline_(it), first_(it.entries.size() - std::min(it.entries.size(), max_svg_events)) {
    for (std::size_t n = first_; n < it.entries.size(); ++n) {
      lanes_.try_emplace(it.entries[n].what.instance, 0);
    }
    int lane = 0;
    for (auto& [instance, number] : lanes_) {
      number = lane++;
    }
  }

  std::string write() {
    begin();
    for (const auto& [instance, lane] : lanes_) {
      draw_lane(instance, lane);
    }
    for (std::size_t n = first_; n < timeline_.entries.size(); ++n) {
      draw_arrow(n);
    }
    for (std::size_t n = first_; n < timeline_.entries.size(); ++n) {
      draw_event(n);
    }
    return text_ + "</svg>\n";
  }

private:
  [[nodiscard]] int x_of(std::size_t n) const {
    return left + lanes_.at(timeline_.entries[n].what.instance) * lane_width + lane_width / 2;
  }
  [[nodiscard]] int y_of(std::size_t n) const {
    return top + static_cast<int>(n - first_) * row_height + row_height / 2;
  }
  [[nodiscard]] int labels_x() const { return left + static_cast<int>(lanes_.size()) * lane_width; }
  [[nodiscard]] int bottom() const { return y_of(timeline_.entries.size()); }

  void begin() {
    const int width = labels_x() + label_width;
    text_ = "<svg xmlns=\"http://www.w3.org/2000/svg\"" + attribute("width", width) +
            attribute("height", bottom() + row_height) +
            " font-family=\"sans-serif\" font-size=\"12\">\n"
            "<defs><marker id=\"head\" viewBox=\"0 0 8 8\" refX=\"8\" refY=\"4\" "
            "markerWidth=\"7\" markerHeight=\"7\" orient=\"auto\">"
            "<path d=\"M0 0 L8 4 L0 8 z\" fill=\"#444444\"/></marker></defs>\n"
            "<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n";
    std::string caption = std::to_string(timeline_.entries.size() - first_) + " of " +
                          std::to_string(timeline_.entries.size()) + " events";
    draw_text(4, row_height, caption);
  }

  void draw_text(int x, int y, const std::string& text) {
    text_ += "<text" + attribute("x", x) + attribute("y", y) + '>' + escape(text) + "</text>\n";
  }

  void draw_line(int x1, int y1, int x2, int y2, std::string_view style) {
    text_ += "<line" + attribute("x1", x1) + attribute("y1", y1) + attribute("x2", x2) +
             attribute("y2", y2) + ' ' + std::string(style) + "/>\n";
  }

  void draw_lane(const std::string& instance, int lane) {
    const int x = left + lane * lane_width + lane_width / 2;
    draw_line(x, top, x, bottom(), "stroke=\"#cccccc\"");
    draw_text(left + lane * lane_width, top - row_height / 2, instance);
  }

  void draw_arrow(std::size_t n) {
    const auto cause = timeline_.entries[n].cause;
    if (cause && *cause >= first_) {
      draw_line(x_of(*cause), y_of(*cause), x_of(n), y_of(n) - radius,
                "stroke=\"#444444\" marker-end=\"url(#head)\"");
    }
  }

  void draw_event(std::size_t n) {
    const auto& entry = timeline_.entries[n];
    const event_kind& kind = describe(entry.what.number);
    text_ += "<circle" + attribute("cx", x_of(n)) + attribute("cy", y_of(n)) +
             attribute("r", radius) + " fill=\"" + std::string(colour_of(kind.level)) +
             "\"><title>" + escape(kind.meaning) + "</title></circle>\n";
    draw_text(4, y_of(n) + 4, format_time(entry.at));
    draw_text(labels_x() + 4, y_of(n) + 4, label_of(entry.what));
  }

  const timeline& timeline_;
  /// Position of the first event that is drawn.
  std::size_t first_;
  std::map<std::string, int> lanes_;
  std::string text_;
};

} // namespace

std::string to_svg(const timeline& it) {
  return svg_writer(it).write();
}

} // namespace boragedoor::events

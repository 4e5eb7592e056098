#include "edge/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

#include <sstream>
#include <utility>

namespace mintrock::edge {

Metrics::Metrics() {
  auto& family = prometheus::BuildHistogram()
                     .Name("mintrock_setup_delay_seconds")
                     .Help("From a call's offer to its answer that it stands")
                     .Register(registry_);
  setup_delay_ = &family.Add({}, prometheus::Histogram::BucketBoundaries{0.001, 0.002, 0.005, 0.01, 0.02,
                                                                         0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10});
}

void Metrics::add_gauge(const std::string& name, const std::string& help,
                        const std::map<std::string, std::string>& labels, std::function<double()> value) {
  auto& gauge = prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels);
  refresh_functions_.push_back([&gauge, value = std::move(value)] { gauge.Set(value()); });
}

void Metrics::add_counter(const std::string& name, const std::string& help,
                          const std::map<std::string, std::string>& labels, std::function<double()> value) {
  auto& counter = prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add(labels);
  refresh_functions_.push_back([&counter, value = std::move(value)] {
    const double current = value();
    if (current > counter.Value()) counter.Increment(current - counter.Value());
  });
}

void Metrics::add_counter_family(
    const std::string& name, const std::string& help,
    std::function<std::vector<std::pair<std::map<std::string, std::string>, double>>()> values) {
  auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
  refresh_functions_.push_back([&family, values = std::move(values)] {
    for (const auto& [labels, value] : values()) {
      auto& counter = family.Add(labels);  // returns the existing counter for known labels
      if (value > counter.Value()) counter.Increment(value - counter.Value());
    }
  });
}

std::string Metrics::serialize() {
  for (const auto& each : refresh_functions_) each();
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry_.Collect());
  return out.str();
}

}  // namespace mintrock::edge

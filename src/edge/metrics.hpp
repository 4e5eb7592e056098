// The proxy's metrics in Prometheus' text format. Values are read from the components on each scrape.
#ifndef MINTROCK_SRC_EDGE_METRICS_HPP_
#define MINTROCK_SRC_EDGE_METRICS_HPP_

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mintrock::edge {

class Metrics {
 public:
  Metrics();
  // Registers a metric whose value is read on each scrape.
  void add_gauge(const std::string& name, const std::string& help,
                 const std::map<std::string, std::string>& labels, std::function<double()> value);
  void add_counter(const std::string& name, const std::string& help,
                   const std::map<std::string, std::string>& labels, std::function<double()> value);
  // Registers counters whose labels are not known in advance.
  void add_counter_family(
      const std::string& name, const std::string& help,
      std::function<std::vector<std::pair<std::map<std::string, std::string>, double>>()> values);
  void observe_setup_delay(double seconds) { setup_delay_->Observe(seconds); }
  std::string serialize();

 private:
  prometheus::Registry registry_;
  prometheus::Histogram* setup_delay_;
  std::vector<std::function<void()>> refresh_functions_;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_METRICS_HPP_

// The proxy's figures in Prometheus' text format. Counters of the packages are read when somebody asks.
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
  // A figure that is read on demand.
  void gauge(const std::string& name, const std::string& help,
             const std::map<std::string, std::string>& labels, std::function<double()> value);
  void counter(const std::string& name, const std::string& help,
               const std::map<std::string, std::string>& labels, std::function<double()> value);
  // Counters whose labels are only known as they come up.
  void family(const std::string& name, const std::string& help,
              std::function<std::vector<std::pair<std::map<std::string, std::string>, double>>()> values);
  void setup_delay(double seconds) { delay_->Observe(seconds); }
  std::string text();

 private:
  prometheus::Registry registry_;
  prometheus::Histogram* delay_;
  std::vector<std::function<void()>> refresh_;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_METRICS_HPP_

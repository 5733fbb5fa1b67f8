#include "runtime/metrics.h"

#include <prometheus/text_serializer.h>

namespace cairnhollow::runtime {

HistogramBuckets latency_buckets_seconds() {
  return {0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
}

prometheus::Counter& Metrics::counter(const std::string& name, const std::string& help,
                                      const MetricLabels& labels) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Gauge& Metrics::gauge(const std::string& name, const std::string& help,
                                  const MetricLabels& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Histogram& Metrics::histogram(const std::string& name, const std::string& help,
                                          const HistogramBuckets& buckets, const MetricLabels& labels) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry_).Add(labels, buckets);
}

std::string Metrics::render() const { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

}  // namespace cairnhollow::runtime

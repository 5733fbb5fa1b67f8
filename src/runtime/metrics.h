// Metrics of one process: counters, gauges and histograms by name and labels, rendered as Prometheus text
// exposition format 0.0.4 (by prometheus-cpp's core library).
//
//   Metrics metrics;
//   auto& refused = metrics.counter("cairnhollow_proxy_refusals_total", "Statements refused.",
//                                   {{"reason", "too_stale"}});
//   refused.Increment();
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

namespace cairnhollow::runtime {

/// Label values by label name. Values must come from fixed sets (reasons, backends, zones), never from
/// callers.
using MetricLabels = std::map<std::string, std::string>;
/// Upper bounds of a histogram's buckets in ascending order; an unbounded bucket is added.
using HistogramBuckets = std::vector<double>;

/// Returns bucket bounds for latencies in seconds, from 0.25 ms to 10 s.
HistogramBuckets latency_buckets_seconds();

/// Returned references stay valid for the lifetime of this object; keep them instead of looking them up per
/// event. The same name and labels return the same metric. Names are snake_case with the unit as suffix, and
/// "_total" for counters. An invalid name, or one name for two kinds of metric, throws std::invalid_argument.
class Metrics {
 public:
  prometheus::Counter& counter(const std::string& name, const std::string& help,
                               const MetricLabels& labels = {});
  prometheus::Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
  prometheus::Histogram& histogram(const std::string& name, const std::string& help,
                                   const HistogramBuckets& buckets, const MetricLabels& labels = {});

  /// Returns the response body for a scrape; its content type is kMetricsContentType.
  [[nodiscard]] std::string render() const;

 private:
  prometheus::Registry registry_;
};

inline constexpr const char* kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace cairnhollow::runtime

#include "standins/registered/promotion_call.h"

#include <fmt/format.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <optional>

namespace cairnhollow::standins::registered {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;

std::optional<std::uint64_t> parse_token(const std::string& text) {
  std::uint64_t token = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), token);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole ? std::optional(token) : std::nullopt;
}

/// Empty when the request is no promotion order.
std::optional<PromotionArrival> read_order(const runtime::HttpRequest& request, TimePoint now) {
  boost::system::error_code error;
  const boost::json::value body = boost::json::parse(request.body, error);
  if (error || !body.is_object()) return std::nullopt;
  const boost::json::value* group = body.as_object().if_contains("Service");
  const boost::json::value* backend = body.as_object().if_contains("Id");
  const auto holder = request.headers.find("x-lease-holder");
  const auto token = parse_token(request.headers.find("x-fencing-token").value_or(""));
  const bool has_names = group != nullptr && group->is_string() && backend != nullptr && backend->is_string();
  if (!has_names || !holder || !token || request.target != "/promotion") return std::nullopt;
  return PromotionArrival{GroupName(std::string(group->as_string())),
                          BackendName(std::string(backend->as_string())), NodeName(*holder), *token, now};
}

class PromotionCallRole : public PromotionCall, public runtime::HttpHandler {
 public:
  PromotionCallRole(runtime::Runtime& runtime, std::vector<PromotedGroup> groups,
                    PromotionCallSettings settings, PromotionHistory& history)
      : runtime_(runtime), groups_(std::move(groups)), settings_(std::move(settings)), history_(history) {}

  Awaitable<bool> start(Reason& reason) override {
    server_ = runtime_.http().serve(settings_.endpoint, *this, reason);
    co_return server_ != nullptr;
  }
  Awaitable<void> drain() override {
    server_->close();
    co_return;
  }
  void hold_orders(Duration shortest, Duration longest) override {
    shortest_hold_ = shortest;
    longest_hold_ = longest;
  }

  Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest request, runtime::HttpConnectionId) override {
    runtime::HttpResponse response;
    response.status = kBadRequest;
    const auto order = read_order(request, runtime_.now());
    if (!order) co_return response;
    const std::size_t place = history_.arrivals.size();
    history_.arrivals.push_back(*order);
    if (longest_hold_ > Duration(0))
      co_await runtime_.sleep_for(runtime_.random().between(shortest_hold_, longest_hold_));
    response.status = process(*order);
    history_.arrivals[place].status = response.status;
    log_answered(history_.arrivals[place]);
    co_return response;
  }

 private:
  /// The status to answer with.
  unsigned process(const PromotionArrival& order) {
    for (const PromotedGroup& group : groups_) {
      if (group.model->name() != order.group) continue;
      const auto member = group.model->members().find(order.backend);
      if (member == group.model->members().end() || !member->second.running) return kConflict;
      if (!group.model->is_present_primary(order.backend))
        runtime_.spawn("promotion", promote(group, order.backend));
      return kOk;
    }
    return kConflict;
  }

  Awaitable<void> promote(PromotedGroup group, BackendName backend) {
    co_await runtime_.sleep_for(settings_.takes);
    const std::uint64_t promotions = group.model->promotions();
    group.model->promote(backend, runtime_.now());
    if (group.model->promotions() == promotions) co_return;
    PromotionEffect effect{group.model->name(), backend, runtime_.now(), {}};
    if (group.attempts != nullptr)
      effect.lacking =
          find_lacking_commits(*group.attempts, group.model->member(backend).log, runtime_.now());
    log_effect(effect, group.model->member(backend).term);
    history_.effects.push_back(std::move(effect));
  }

  void log_answered(const PromotionArrival& arrival) {
    runtime_.logger().log(runtime::LogLevel::kInfo, "promotion_order_answered",
                          {{"group", arrival.group.value},
                           {"backend", arrival.backend.value},
                           {"holder", arrival.holder.value},
                           {"fencing", std::to_string(arrival.fencing)},
                           {"status", std::to_string(arrival.status)},
                           {"held_ms", std::to_string(in_ms(runtime_.now() - arrival.at))}});
  }

  void log_effect(const PromotionEffect& effect, std::uint64_t term) {
    runtime_.logger().log(runtime::LogLevel::kInfo, "promotion_took_effect",
                          {{"group", effect.group.value},
                           {"backend", effect.backend.value},
                           {"term", std::to_string(term)},
                           {"acknowledged_commits_lacking", std::to_string(effect.lacking.size())}});
  }

  runtime::Runtime& runtime_;
  std::vector<PromotedGroup> groups_;
  PromotionCallSettings settings_;
  PromotionHistory& history_;
  Duration shortest_hold_{0};
  Duration longest_hold_{0};
  std::unique_ptr<runtime::HttpServer> server_;
};

}  // namespace

std::unique_ptr<PromotionCall> make_promotion_call(runtime::Runtime& runtime,
                                                   std::vector<PromotedGroup> groups,
                                                   PromotionCallSettings settings,
                                                   PromotionHistory& history) {
  return std::make_unique<PromotionCallRole>(runtime, std::move(groups), std::move(settings), history);
}

}  // namespace cairnhollow::standins::registered

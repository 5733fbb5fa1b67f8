#include "tests/registered/control/control_stand.h"

#include <algorithm>
#include <utility>

#include "tests/registered/control/promotion_double.h"
#include "wire/codec.h"

namespace cairnhollow::registered::control {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const GroupName kGroup("group");

/// Connection to one of the fixture's backends.
class MemberLink : public BackendLink {
 public:
  MemberLink(ControlStand& stand, std::string member) : stand_(stand), member_(std::move(member)) {}

  Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint deadline, runtime::SendState& sent,
                                       Reason& reason) override {
    sent = runtime::SendState::kMaybeSent;
    ControlStand::Member& member = stand_.members[member_];
    if (member.has_ended) {
      close();
      reason = Reason{ReasonCode::kConnectionLost, "ask_status", member_, "connection closed"};
      co_return std::nullopt;
    }
    if (std::holds_alternative<GetStatus>(request)) ++member.questions;
    if (!member.answers) {
      co_await stand_.runtime().sleep_for(deadline - stand_.now());
      close();
      reason = Reason{ReasonCode::kDeadlineExceeded, "ask_status", member_, "no answer before the deadline"};
      co_return std::nullopt;
    }
    co_await stand_.runtime().sleep_for(milliseconds(1));
    if (const auto* pause = std::get_if<Pause>(&request)) {
      stand_.events.push_back({"pause " + member_, stand_.now()});
      if (!member.forgets_pauses) member.status.pause_term = pause->term;
    }
    if (std::holds_alternative<Resume>(request)) member.status.pause_term = 0;
    if (const auto* demote = std::get_if<Demote>(&request); demote && demote->term > member.status.term)
      member.status = {false, demote->term, member.status.received, 0};
    Answer answer;
    co_return answer;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return stand_.members[member_].status;
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return member_; }

 private:
  ControlStand& stand_;
  std::string member_;
  bool open_ = true;
};

}  // namespace

Awaitable<std::optional<std::uint64_t>> ScriptedConsensus::propose(std::string command, TimePoint deadline,
                                                                   Reason& reason) {
  ++proposals;
  co_await runtime_.sleep_for(milliseconds(1));
  if (!has_quorum) {
    co_await runtime_.sleep_for(deadline - runtime_.now());
    reason = Reason{ReasonCode::kOutcomeUnknown, "propose", "", "no quorum"};
    co_return std::nullopt;
  }
  fleet_.apply(++index_, command);
  co_return index_;
}

Awaitable<std::optional<std::uint64_t>> ScriptedConsensus::read_barrier(TimePoint deadline, Reason& reason) {
  ++barriers;
  co_await runtime_.sleep_for(barrier_takes / 2);
  if (during_barrier) std::exchange(during_barrier, nullptr)();
  co_await runtime_.sleep_for(barrier_takes / 2);
  if (has_quorum) co_return index_;
  co_await runtime_.sleep_for(deadline - runtime_.now());
  reason = Reason{ReasonCode::kNoQuorum, "read_barrier", "", "no quorum"};
  co_return std::nullopt;
}

consensus::ConsensusStatus ScriptedConsensus::status() const {
  consensus::ConsensusStatus status;
  status.state = is_leader ? consensus::ServerState::kLeader : consensus::ServerState::kFollower;
  status.term = led_term;
  status.leader = NodeName("10.0.0.1");
  return status;
}

void ScriptedConsensus::commit(registry::Command command) {
  registry::LoggedCommand logged{std::move(command)};
  fleet_.apply(++index_, wire::encode_from(logged, wire::kWrittenFormat));
}

Awaitable<bool> ProxyFrames::send(std::string frame, Reason& reason) {
  while (open_ && stalls_) co_await changed_.wait();
  if (!open_) co_return false;
  auto update = wire::decode<registry::ProxyUpdate>(frame, reason);
  if (update) updates.push_back(std::move(*update));
  co_return true;
}

Awaitable<std::optional<std::string>> ProxyFrames::receive(Reason& /*reason*/) {
  while (open_ && reports_.empty()) co_await changed_.wait();
  if (!open_) co_return std::nullopt;
  std::string frame = std::move(reports_.front());
  reports_.pop_front();
  co_return frame;
}

void ProxyFrames::close() {
  open_ = false;
  changed_.notify_all();
}

void ProxyFrames::report(const registry::ProxyReport& report) {
  reports_.push_back(wire::encode(report));
  changed_.notify_all();
}

void ProxyFrames::stall_sends(bool stalls) {
  stalls_ = stalls;
  changed_.notify_all();
}

Duration ProxyFrames::lease() const {
  Duration longest{0};
  for (const registry::ProxyUpdate& update : updates) longest = std::max(longest, update.lease);
  return longest;
}

bool ProxyFrames::was_refused() const {
  return std::any_of(updates.begin(), updates.end(),
                     [](const auto& update) { return update.refusal.has_value(); });
}

ControlStand::ControlStand() : world_(std::make_unique<simulation::World>(simulation::WorldSettings{})) {
  runtime_ = &world_->start_bare({"control", "10.0.0.1", ZoneName("a")});
  run_for(seconds(30));
  fleet_ = std::make_unique<registry::FleetStateMachine>(*runtime_);
  consensus_ = std::make_unique<ScriptedConsensus>(*runtime_, *fleet_);
  directory_ = std::make_unique<ControlNodeDirectory>(std::vector<Endpoint>{{"10.0.0.1", 7440}}, *consensus_);
  calls_ = std::make_unique<LeaderCalls>(*runtime_, *consensus_, *directory_, NodeName("10.0.0.1"),
                                         Endpoint{"10.0.0.1", 7440});
  leases_ = std::make_unique<LeaseKeeper>(*runtime_, *consensus_, *fleet_, *directory_, *calls_, kLease);
  prober_ = std::make_unique<GroupProber>(*runtime_, *this);
  registry::ConfigurationDocument document;
  document.version = 1;
  document.text = "first";
  registry::GroupRule rule;
  rule.name = kGroup;
  rule.synchronous_replicas = 1;
  document.groups = {rule};
  consensus_->commit(registry::ReplaceDocument{document});
  std::uint16_t port = 9001;
  for (const char* name : {"primary", "replica-1", "replica-2"}) {
    consensus_->commit(registry::RegisterBackend{entry(name, port++)});
    members[name].status = {false, 1, Position{1, 10}, 0};
  }
  members["primary"].status.is_primary = true;
}

// Destroys the world first, because its suspended coroutines refer to the other members.
ControlStand::~ControlStand() { world_.reset(); }

bool ControlStand::finish(Awaitable<void> task) {
  auto finished = std::make_shared<bool>(false);
  const auto watch = [](Awaitable<void> watched, std::shared_ptr<bool> done) -> Awaitable<void> {
    co_await std::move(watched);
    *done = true;
  };
  runtime_->spawn("task", watch(std::move(task), finished));
  return world_->run_until([finished] { return *finished; }, seconds(20));
}

registry::BackendEntry ControlStand::entry(const std::string& name, std::uint16_t port) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = kGroup;
  entry.endpoint = {"10.0.1.1", port};
  entry.zone = ZoneName("a");
  entry.slots = 2;
  entry.sequence = 1;
  return entry;
}

void ControlStand::open_group() {
  consensus_->commit(registry::OpenGroup{kGroup, term().epoch, 1, BackendName("primary"), 0});
}

void ControlStand::admit(const std::string& proxy) {
  consensus_->commit(registry::AdmitProxy{{NodeName(proxy), 1, ZoneName("a"), {"10.0.0.9", 7440}, false}});
}

std::shared_ptr<ProxyFrames> ControlStand::connect(const std::string& proxy) {
  auto frames = std::make_shared<ProxyFrames>(*runtime_);
  wire::Hello hello;
  hello.conversation = wire::Conversation::kServing;
  hello.node = NodeName(proxy);
  hello.zone = ZoneName("a");
  runtime_->spawn("serve", leases_->serve(frames, hello));
  return frames;
}

registry::GroupTerm ControlStand::term() const {
  const registry::GroupTerm* term = fleet_->find_term(kGroup);
  return term == nullptr ? registry::GroupTerm{} : *term;
}

Awaitable<std::shared_ptr<BackendLink>> ControlStand::open(BackendAddress address, TimePoint /*deadline*/,
                                                           std::optional<Refusal>& refusal, Reason& reason) {
  co_await runtime_->sleep_for(milliseconds(1));
  const auto other = answering_at.find(address.endpoint);
  if (other != answering_at.end() && other->second != address.backend.value) {
    refusal = Refusal::kWrongBackend;
    reason = Reason{ReasonCode::kConflict, "open_session", other->second,
                    "another backend answers at this address"};
    co_return nullptr;
  }
  if (members[address.backend.value].has_ended) {
    reason = Reason{ReasonCode::kUnreachable, "open_connection", address.backend.value, "connection refused",
                    true};
    co_return nullptr;
  }
  if (members[address.backend.value].is_full) {
    refusal = Refusal::kConnectionLimit;
    reason = Reason{ReasonCode::kUnreachable, "open_session", address.backend.value, "connection limit"};
    co_return nullptr;
  }
  co_return std::make_shared<MemberLink>(*this, address.backend.value);
}

Awaitable<std::shared_ptr<registry::PromotionChannel>> ControlStand::connect(TimePoint /*deadline*/,
                                                                             Reason& /*reason*/) {
  co_return std::make_shared<PromotionDouble>([this](const registry::PromotionOrder& order, Reason& reason) {
    return answer_promotion(order, reason);
  });
}

registry::PromotionOutcome ControlStand::answer_promotion(const registry::PromotionOrder& order,
                                                          Reason& reason) {
  events.push_back({"promote " + order.backend.value, now()});
  if (refuses_promotions) {
    reason = Reason{ReasonCode::kOverloaded, "promote", order.backend.value, "promotion rate limit reached"};
    return registry::PromotionOutcome::kRejected;
  }
  Member& member = members[order.backend.value];
  // The present primary's promotion changes nothing.
  if (!member.status.is_primary) member.status = {true, member.status.term + 1, member.status.received, 0};
  return registry::PromotionOutcome::kAccepted;
}

const ControlStand::Event* ControlStand::first(const std::string& what) const {
  const auto found = std::find_if(events.begin(), events.end(),
                                  [&](const Event& event) { return event.what.starts_with(what); });
  return found == events.end() ? nullptr : &*found;
}

}  // namespace cairnhollow::registered::control

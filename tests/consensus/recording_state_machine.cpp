#include "tests/consensus/recording_state_machine.h"

#include <fmt/format.h>

#include <algorithm>

#include "wire/codec.h"

namespace cairnhollow::consensus {

void AppliedRecord::record(std::uint64_t index, const std::string& command) {
  const auto [known, inserted] = commands_.emplace(index, command);
  if (!inserted && known->second != command) {
    violations_.push_back(
        fmt::format("index {}: {} was applied, but {} was applied before", index, command, known->second));
  }
}

void AppliedRecord::record_restored(const std::map<std::uint64_t, std::string>& commands) {
  for (const auto& [index, command] : commands) record(index, command);
}

void RecordingStateMachine::apply(std::uint64_t index, const std::string& command) {
  record_.record(index, command);
  commands_.emplace(index, command);
}

std::string RecordingStateMachine::take_snapshot() const { return wire::encode(commands_); }

bool RecordingStateMachine::restore_snapshot(const std::string& bytes, Reason& reason) {
  auto commands = wire::decode<std::map<std::uint64_t, std::string>>(bytes, reason);
  if (!commands) return false;
  commands_ = std::move(*commands);
  record_.record_restored(commands_);
  ++restores_;
  return true;
}

bool RecordingStateMachine::has(const std::string& command) const {
  return std::any_of(commands_.begin(), commands_.end(),
                     [&](const auto& entry) { return entry.second == command; });
}

}  // namespace cairnhollow::consensus

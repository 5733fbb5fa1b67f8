#include "consensus/peer_table.h"

#include <set>

#include "consensus/knobs.h"

namespace cairnhollow::consensus {

std::shared_ptr<PeerChannel> PeerTable::channel(const Member& member) {
  auto& channel = channels_[Address{member.node, member.endpoint}];
  if (channel != nullptr) return channel;
  PeerChannelSettings settings;
  settings.hello.conversation = wire::Conversation::kConsensus;
  settings.hello.node = state_.self();
  settings.hello.zone = state_.settings().zone;
  settings.peer = member.node;
  settings.endpoint = member.endpoint;
  settings.stall_limit = state_.settings().election_timeout * kStalledElectionTimeouts;
  channel = std::make_shared<PeerChannel>(state_.runtime(), std::move(settings));
  state_.runtime().spawn("consensus_peer", channel->run(channel));
  return channel;
}

void PeerTable::update_channels() {
  if (state_.halted()) return;
  std::set<Address> wanted;
  for (const Member& member : state_.configuration().all()) {
    if (member.node == state_.self()) continue;
    if (state_.is_voter() && member.role == MemberRole::kVoter) channel(member);
    wanted.insert(Address{member.node, member.endpoint});
  }
  for (auto entry = channels_.begin(); entry != channels_.end();) {
    if (wanted.contains(entry->first)) {
      ++entry;
      continue;
    }
    entry->second->close();
    entry = channels_.erase(entry);
  }
}

void PeerTable::close_all() {
  for (auto& [node, channel] : channels_) channel->close();
  channels_.clear();
}

PeerRequest PeerTable::make_request(const Member& member, RequestBody body) const {
  PeerRequest request;
  request.from = state_.self();
  request.from_identity = state_.identity();
  request.to_identity = member.identity;
  request.term = state_.term();
  request.body = std::move(body);
  return request;
}

}  // namespace cairnhollow::consensus

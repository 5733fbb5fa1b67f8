// Group configurations: their members and the quorum rules (chapter 4).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "consensus/consensus.h"
#include "wire/codec.h"

namespace cairnhollow::consensus {

/// Identifies a member by name and disk identity. A machine whose disk was replaced is a different member
/// with the same name.
struct MemberKey {
  NodeName node;
  std::string identity;
  auto operator<=>(const MemberKey&) const = default;
};

inline MemberKey key_of(const Member& member) { return MemberKey{member.node, member.identity}; }

/// A group starts *unformed*: the settings name its members, but their identities are unknown. A quorum of an
/// unformed group is all of its members, so that a disk lost during formation cannot give one member two
/// votes. The first leader learns all identities from the votes it receives and appends them as the first log
/// entry.
struct Configuration {
  bool formed = false;
  std::vector<Member> members;
  /// Non-empty during joint consensus (section 4.3), when decisions need a quorum of both lists.
  std::vector<Member> next_members;

  [[nodiscard]] bool is_joint() const { return !next_members.empty(); }
  [[nodiscard]] bool empty() const { return members.empty(); }
  /// Returns the member with that name (and identity) from either list, or null if there is none.
  [[nodiscard]] const Member* find(const NodeName& node) const;
  [[nodiscard]] const Member* find(const MemberKey& key) const;
  /// Returns whether a node with this identity is a member. In an unformed group only the name is compared.
  [[nodiscard]] bool is_member(const MemberKey& key) const;
  [[nodiscard]] bool is_voter(const MemberKey& key) const;
  /// Returns each member once, ordered by name and identity. A member of both lists has its role from the
  /// next list.
  [[nodiscard]] std::vector<Member> all() const;

  /// Returns whether the voters for which `agrees` returns true form a quorum.
  [[nodiscard]] bool has_quorum(const std::function<bool(const Member&)>& agrees) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(formed, members, next_members);
  }
};

/// The configurations in the log by index. A server uses the latest one in its log, committed or not (section
/// 4.1).
class ConfigurationHistory {
 public:
  void reset(std::uint64_t index, Configuration configuration);
  void append(std::uint64_t index, Configuration configuration);
  void truncate_after(std::uint64_t index);
  /// Drops configurations older than the one in effect at `index`.
  void compact_to(std::uint64_t index);

  [[nodiscard]] const Configuration& latest() const { return by_index_.rbegin()->second; }
  [[nodiscard]] std::uint64_t latest_index() const { return by_index_.rbegin()->first; }
  [[nodiscard]] const Configuration& at(std::uint64_t index) const;

 private:
  std::map<std::uint64_t, Configuration> by_index_{{0, Configuration{}}};
};

}  // namespace cairnhollow::consensus

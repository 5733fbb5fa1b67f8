// One entry of the replicated log.
#pragma once

#include <cstdint>
#include <string>

#include "wire/codec.h"

namespace cairnhollow::consensus {

enum class EntryKind : std::uint8_t {
  kNoOperation = 0,    ///< appended by a new leader so that its term has an entry (section 6.4)
  kCommand = 1,        ///< applied to the state machine
  kConfiguration = 2,  ///< an encoded Configuration, in effect as soon as it is appended (section 4.1)
};

struct LogEntry {
  std::uint64_t index = 0;  ///< the first entry has index 1
  std::uint64_t term = 0;
  EntryKind kind = EntryKind::kNoOperation;
  std::string payload;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, term, kind, payload);
  }
};

}  // namespace cairnhollow::consensus

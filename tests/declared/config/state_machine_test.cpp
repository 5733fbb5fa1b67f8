// Tests the replicated configuration: concurrent changes, resends, refusals and snapshots.
#include "declared/config/state_machine.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "declared/config/object_names.h"
#include "tests/declared/config/test_objects.h"

namespace cairnhollow::declared::config {

class StateMachineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateMachineTest);
  CPPUNIT_TEST(accepted_changes_raise_the_revision_and_set_versions);
  CPPUNIT_TEST(only_one_of_two_changes_to_a_version_is_accepted);
  CPPUNIT_TEST(only_one_of_two_creations_is_accepted);
  CPPUNIT_TEST(conflict_in_one_object_refuses_the_whole_change);
  CPPUNIT_TEST(resend_gets_the_first_answer);
  CPPUNIT_TEST(resend_of_a_refused_change_gets_the_first_answer);
  CPPUNIT_TEST(resend_gets_the_first_answer_from_a_restored_snapshot);
  CPPUNIT_TEST(same_id_with_other_content_is_refused);
  CPPUNIT_TEST(resend_older_than_the_memory_is_never_applied_twice);
  CPPUNIT_TEST(refused_changes_do_not_evict_accepted_ones);
  CPPUNIT_TEST(new_changes_are_accepted_when_the_memory_is_full);
  CPPUNIT_TEST(future_revision_is_refused);
  CPPUNIT_TEST(invalid_changes_are_refused_with_all_faults);
  CPPUNIT_TEST(object_listed_twice_is_refused);
  CPPUNIT_TEST(deletion_of_an_absent_object_is_accepted);
  CPPUNIT_TEST(selects_by_kind_names_and_selector);
  CPPUNIT_TEST(changes_since_gives_each_object_once);
  CPPUNIT_TEST(snapshot_round_trip_keeps_everything);
  CPPUNIT_TEST(corrupt_snapshots_are_refused_and_change_nothing);
  CPPUNIT_TEST(refused_change_restores_the_previous_objects);
  CPPUNIT_TEST_SUITE_END();

 public:
  void accepted_changes_raise_the_revision_and_set_versions() {
    accept(change_of("c1", {write_of(backend_object("a", 1)), write_of(backend_object("b", 2))}));
    accept(change_of("c2", {write_of(backend_object("b", 3))}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, machine_.revision());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, version_of("a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, version_of("b"));
  }

  void only_one_of_two_changes_to_a_version_is_accepted() {
    accept(change_of("c1", {write_of(backend_object("a", 1))}));
    const auto first = machine_.apply(change_of("left", {write_of(backend_object("a", 2), 1)}));
    const auto second = machine_.apply(change_of("right", {write_of(backend_object("a", 3), 1)}));
    CPPUNIT_ASSERT(first.accepted);
    CPPUNIT_ASSERT(!second.accepted);
    CPPUNIT_ASSERT(second.reason.code == ReasonCode::kConflict);
    CPPUNIT_ASSERT(second.conflicting);
    CPPUNIT_ASSERT(second.conflicting->object == backend_object("a", 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second.conflicting->version);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "Backend/a is at version 2, written by alice (change left), and the change is based on 1"),
        second.reason.detail);
    CPPUNIT_ASSERT(machine_.find(backend_key("a"))->object == backend_object("a", 2));
  }

  void only_one_of_two_creations_is_accepted() {
    const auto first = machine_.apply(change_of("left", {write_of(backend_object("a", 2), 0)}));
    const auto second = machine_.apply(change_of("right", {write_of(backend_object("a", 3), 0)}));
    CPPUNIT_ASSERT(first.accepted);
    CPPUNIT_ASSERT(second.reason.code == ReasonCode::kConflict);
    CPPUNIT_ASSERT(second.conflicting->object == backend_object("a", 2));
  }

  void conflict_in_one_object_refuses_the_whole_change() {
    accept(change_of("c1", {write_of(backend_object("a", 1))}));
    const auto outcome = machine_.apply(
        change_of("c2", {write_of(backend_object("b", 2), 0), write_of(backend_object("a", 3), 0),
                         deletion_of(backend_object("c", 1), 9)}));
    CPPUNIT_ASSERT(outcome.reason.code == ReasonCode::kConflict);
    CPPUNIT_ASSERT(outcome.reason.detail.find("Backend/c does not exist") != std::string::npos);
    CPPUNIT_ASSERT(!machine_.find(backend_key("b")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, machine_.revision());
  }

  void resend_gets_the_first_answer() {
    const auto request = change_of("c1", {write_of(backend_object("a", 1))});
    const auto first = machine_.apply(request);
    accept(change_of("c2", {deletion_of(backend_object("a", 1))}));
    const auto again = machine_.apply(request);
    CPPUNIT_ASSERT(again.accepted);
    CPPUNIT_ASSERT_EQUAL(first.revision, again.revision);
    CPPUNIT_ASSERT(!machine_.find(backend_key("a")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, machine_.revision());
  }

  void resend_of_a_refused_change_gets_the_first_answer() {
    accept(change_of("c1", {write_of(backend_object("a", 1))}));
    const auto request = change_of("c2", {write_of(backend_object("a", 2), 0)});
    const auto first = machine_.apply(request);
    accept(change_of("c3", {deletion_of(backend_object("a", 1))}));
    const auto again = machine_.apply(request);
    CPPUNIT_ASSERT(!again.accepted);
    CPPUNIT_ASSERT_EQUAL(first.reason.detail, again.reason.detail);
    CPPUNIT_ASSERT(again.conflicting == first.conflicting);
    CPPUNIT_ASSERT(!machine_.find(backend_key("a")));
  }

  void resend_gets_the_first_answer_from_a_restored_snapshot() {
    const auto accepted = change_of("c1", {write_of(backend_object("a", 1), 0)});
    const auto refused = change_of("c2", {write_of(backend_object("a", 2), 0)});
    const auto first_accepted = machine_.apply(accepted);
    const auto first_refused = machine_.apply(refused);
    StateMachine restored;
    Reason reason;
    CPPUNIT_ASSERT(restored.restore_snapshot(machine_.take_snapshot(), reason));
    CPPUNIT_ASSERT_EQUAL(first_accepted.revision, restored.apply(accepted).revision);
    CPPUNIT_ASSERT(restored.apply(accepted).accepted);
    CPPUNIT_ASSERT_EQUAL(first_refused.reason.detail, restored.apply(refused).reason.detail);
    CPPUNIT_ASSERT(restored.apply(refused).conflicting == first_refused.conflicting);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, restored.revision());
  }

  void same_id_with_other_content_is_refused() {
    accept(change_of("c1", {write_of(backend_object("a", 1))}));
    for (const auto& other : {change_of("c1", {write_of(backend_object("a", 2))}), change_of("c1", {}),
                              change_of("c1", {deletion_of(backend_object("a", 1))}),
                              change_of("c1", {write_of(backend_object("a", 1), 1)}),
                              change_of("c1", {write_of(backend_object("a", 1))}, 1)}) {
      const auto outcome = machine_.apply(other);
      CPPUNIT_ASSERT(!outcome.accepted);
      CPPUNIT_ASSERT(outcome.reason.code == ReasonCode::kAlreadyExists);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, machine_.revision());
    CPPUNIT_ASSERT(machine_.find(backend_key("a"))->object == backend_object("a", 1));
  }

  void resend_older_than_the_memory_is_never_applied_twice() {
    // The hardest case: the change expects no version, and the object it created has been deleted since.
    const auto old = change_of("old", {write_of(backend_object("a", 1))});
    accept(old);
    accept(change_of("gone", {deletion_of(backend_object("a", 1))}));
    fill_memory_with_accepted(ChangeMemory::kMaximumAccepted - 2);
    CPPUNIT_ASSERT(machine_.apply(old).accepted);  // still within the change memory
    fill_memory_with_accepted(1);
    const auto outcome = machine_.apply(old);
    CPPUNIT_ASSERT(!outcome.accepted);
    CPPUNIT_ASSERT(outcome.reason.code == ReasonCode::kOutcomeUnknown);
    CPPUNIT_ASSERT(!machine_.find(backend_key("a")));
    StateMachine restored;
    Reason reason;
    CPPUNIT_ASSERT(restored.restore_snapshot(machine_.take_snapshot(), reason));
    CPPUNIT_ASSERT(restored.apply(old).reason.code == ReasonCode::kOutcomeUnknown);
    CPPUNIT_ASSERT(!restored.find(backend_key("a")));
  }

  void refused_changes_do_not_evict_accepted_ones() {
    const auto first = change_of("first", {write_of(backend_object("a", 1))});
    accept(first);
    for (std::size_t i = 0; i < ChangeMemory::kMaximumRefused + 10; ++i) {
      const auto outcome =
          machine_.apply(change_of(fmt::format("refused-{}", i), {write_of(backend_object("a", 2), 0)}));
      CPPUNIT_ASSERT(!outcome.accepted);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, machine_.apply(first).revision);
    CPPUNIT_ASSERT(machine_.apply(first).accepted);
    // The author of the accepted change is still known too.
    const auto conflict = machine_.apply(change_of("late", {write_of(backend_object("a", 2), 0)}));
    CPPUNIT_ASSERT(conflict.reason.detail.find("alice (change first)") != std::string::npos);
    accept(change_of("next", {write_of(backend_object("a", 5), 1)}));
  }

  void new_changes_are_accepted_when_the_memory_is_full() {
    fill_memory_with_accepted(ChangeMemory::kMaximumAccepted + 50);
    accept(change_of("new", {write_of(backend_object("a", 1))}, machine_.revision()));
    accept(change_of("at-the-edge", {write_of(backend_object("a", 2))},
                     machine_.revision() - ChangeMemory::kMaximumAccepted));
    const auto too_old = machine_.apply(change_of("too-old", {write_of(backend_object("a", 3))},
                                                  machine_.revision() - ChangeMemory::kMaximumAccepted - 1));
    CPPUNIT_ASSERT(too_old.reason.code == ReasonCode::kOutcomeUnknown);
  }

  void future_revision_is_refused() {
    const auto outcome = machine_.apply(change_of("c1", {write_of(backend_object("a", 1))}, 1));
    CPPUNIT_ASSERT(outcome.reason.code == ReasonCode::kInvalidArgument);
    CPPUNIT_ASSERT(outcome.reason.detail.find("atRevision") != std::string::npos);
  }

  void invalid_changes_are_refused_with_all_faults() {
    auto bad = backend_object("Bad_Name", 0, LabelSet{{{"ok", "-"}}});
    const auto outcome =
        machine_.apply(change_of("c1", {write_of(bad), write_of(group_object("g", "", {9, 3}))}));
    CPPUNIT_ASSERT(outcome.reason.code == ReasonCode::kInvalidArgument);
    for (const char* part : {"Backend/Bad_Name metadata.name", "metadata.labels.ok", "spec.endpoint",
                             "DatabaseGroup/g spec.hashSlots: first is above last"}) {
      CPPUNIT_ASSERT_MESSAGE(part, outcome.reason.detail.find(part) != std::string::npos);
    }
    for (const char* id : {"", "has blank", "tab\t"}) {
      CPPUNIT_ASSERT(machine_.apply(change_of(id, {})).reason.code == ReasonCode::kInvalidArgument);
    }
    CPPUNIT_ASSERT(machine_.apply(change_of(std::string(129, 'x'), {})).reason.code ==
                   ReasonCode::kInvalidArgument);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, machine_.revision());
  }

  void object_listed_twice_is_refused() {
    const auto outcome = machine_.apply(
        change_of("c1", {write_of(backend_object("a", 1)), deletion_of(backend_object("a", 1))}));
    CPPUNIT_ASSERT(outcome.reason.code == ReasonCode::kInvalidArgument);
    CPPUNIT_ASSERT(outcome.reason.detail.find("is named twice") != std::string::npos);
  }

  void deletion_of_an_absent_object_is_accepted() {
    accept(change_of("c1", {deletion_of(backend_object("a", 1))}));
    CPPUNIT_ASSERT(machine_.apply(change_of("c2", {deletion_of(backend_object("a", 1), 1)})).reason.code ==
                   ReasonCode::kConflict);
    CPPUNIT_ASSERT(machine_.apply(change_of("c3", {deletion_of(Object{})})).reason.code ==
                   ReasonCode::kInvalidArgument);
  }

  void selects_by_kind_names_and_selector() {
    const LabelSet zone{{{"zone", "k"}}};
    accept(change_of("c1", {write_of(backend_object("b", 1, zone)), write_of(backend_object("a", 2)),
                            write_of(backend_object("c", 3, zone)), write_of(proxy_object("a", 4))}));
    const auto names = [&](const ObjectQuery& query) {
      std::string text;
      for (const auto& stored : machine_.select(query)) text += to_string(stored.object.key()) + " ";
      return text;
    };
    const auto backend = ObjectKind::kBackend;
    CPPUNIT_ASSERT_EQUAL(std::string("Proxy/a Backend/a Backend/b Backend/c "), names({}));
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/a Backend/b Backend/c "), names({backend, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/a Backend/c "), names({backend, {"c", "x", "a", "c"}, {}}));
    CPPUNIT_ASSERT_EQUAL(std::string("Proxy/a Backend/a "), names({std::nullopt, {"a"}, {}}));
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/b Backend/c "), names({backend, {}, selector_of("zone=k")}));
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/c "), names({backend, {"a", "c"}, selector_of("zone=k")}));
  }

  void changes_since_gives_each_object_once() {
    accept(change_of("c1", {write_of(backend_object("a", 1)), write_of(backend_object("b", 2))}));
    accept(change_of("c2", {write_of(backend_object("a", 3))}));
    accept(change_of("c3", {deletion_of(backend_object("b", 2))}));
    const auto all = machine_.changes_since(0);
    CPPUNIT_ASSERT(all);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all->upserts.size());
    CPPUNIT_ASSERT(all->upserts[0].object == backend_object("a", 3));
    CPPUNIT_ASSERT((all->deletions == std::vector<ObjectKey>{backend_key("b")}));
    CPPUNIT_ASSERT(machine_.changes_since(3)->upserts.empty());
    CPPUNIT_ASSERT(!machine_.changes_since(4));
    fill_memory_with_accepted(ChangeHistory::kMaximumRevisions - 1);
    CPPUNIT_ASSERT(!machine_.changes_since(1));
    CPPUNIT_ASSERT(machine_.changes_since(2));
  }

  void snapshot_round_trip_keeps_everything() {
    accept(change_of("c1", {write_of(backend_object("a", 1, LabelSet{{{"service", "x"}}})),
                            write_of(group_object("g", "service=x", {0, 10})), write_of(proxy_object("p", 2)),
                            write_of(route_object("r", ""))}));
    accept(change_of("c2", {deletion_of(proxy_object("p", 2))}));
    StateMachine restored;
    Reason reason;
    CPPUNIT_ASSERT(restored.restore_snapshot(machine_.take_snapshot(), reason));
    CPPUNIT_ASSERT_EQUAL(machine_.revision(), restored.revision());
    CPPUNIT_ASSERT(machine_.list(std::nullopt) == restored.list(std::nullopt));
    CPPUNIT_ASSERT_EQUAL(machine_.take_snapshot(), restored.take_snapshot());
    CPPUNIT_ASSERT(restored.changes_since(1)->deletions == machine_.changes_since(1)->deletions);
    // The rules between objects also apply to the restored objects.
    const auto other_owner =
        change_of("c3", {write_of(group_object("h", "service=x", {20, 30}))}, restored.revision());
    CPPUNIT_ASSERT_EQUAL(machine_.apply(other_owner).reason.detail,
                         restored.apply(other_owner).reason.detail);
    CPPUNIT_ASSERT(restored.apply(other_owner).reason.code == ReasonCode::kInvalidArgument);
  }

  void corrupt_snapshots_are_refused_and_change_nothing() {
    accept(change_of("c1", {write_of(backend_object("a", 1))}));
    const std::string good = machine_.take_snapshot();
    std::string flipped = good;
    flipped[good.size() / 2] = static_cast<char>(flipped[good.size() / 2] ^ 1);
    for (const std::string& bytes :
         {std::string(), std::string("short"), flipped, good.substr(0, good.size() - 1), good + "x"}) {
      Reason reason;
      CPPUNIT_ASSERT(!machine_.restore_snapshot(bytes, reason));
      CPPUNIT_ASSERT(reason.code == ReasonCode::kCorrupt);
    }
    CPPUNIT_ASSERT_EQUAL(good, machine_.take_snapshot());
  }

  void refused_change_restores_the_previous_objects() {
    accept(change_of("c1", {write_of(backend_object("a", 1)), write_of(backend_object("b", 2))}));
    const auto before = machine_.list(std::nullopt);
    const auto outcome =
        machine_.apply(change_of("c2", {write_of(backend_object("a", 2)), write_of(backend_object("c", 3)),
                                        write_of(proxy_object("p", 2))}));
    CPPUNIT_ASSERT(outcome.reason.code == ReasonCode::kInvalidArgument);
    CPPUNIT_ASSERT(before == machine_.list(std::nullopt));
    // The restored objects take part in validation again.
    CPPUNIT_ASSERT(!machine_.apply(change_of("c3", {write_of(backend_object("d", 1))})).accepted);
    accept(change_of("c4", {write_of(backend_object("d", 3))}));
  }

 private:
  static ObjectKey backend_key(const std::string& name) { return {ObjectKind::kBackend, name}; }

  void accept(const ChangeRequest& request) {
    const auto outcome = machine_.apply(request);
    CPPUNIT_ASSERT_MESSAGE(outcome.reason.to_string(), outcome.accepted);
  }

  std::uint64_t version_of(const std::string& name) { return machine_.find(backend_key(name))->version; }

  /// Accepts `count` changes that contain no objects.
  void fill_memory_with_accepted(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      accept(change_of(fmt::format("filler-{}", machine_.revision()), {}, machine_.revision()));
    }
  }

  StateMachine machine_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateMachineTest);

}  // namespace cairnhollow::declared::config

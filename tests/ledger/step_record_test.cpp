#include "ledger/step_record.h"

#include "support/mutate.h"
#include "support/property.h"

namespace boragedoor::ledger {

namespace {

step_record sample_record() {
  step_record it;
  it.trainer = "t";
  it.step = 3;
  it.spec = {"model", 5, 2, 64, {{"a", "p", 2}, {"b", "q", 1}}};
  it.hash = spec_hash(it.spec);
  it.batches = {{1, "h1", 2, 1, {"a"}, 5, batch_state::voided, 0, false},
                {2, "h2", 3, 2, {"a", "b"}, 6, batch_state::delivered, 7, false}};
  it.last_batch = 2;
  it.token = 9;
  return it;
}

} // namespace

TEST_CASE("the step record") {
  const step_record record = sample_record();
  SECTION("survives its JSON form") {
    const auto copy = step_record_from_text(to_text(record));
    REQUIRE(copy);
    CHECK(copy.value() == record);
  }
  SECTION("is refused when a group is in two batches that count") {
    step_record bad = record;
    bad.batches[0].state = batch_state::listed;
    CHECK_FALSE(step_record_from_text(to_text(bad)));
  }
  SECTION("is refused when numbers do not rise or exceed the last one") {
    step_record bad = record;
    bad.batches[0].n = 2;
    CHECK_FALSE(step_record_from_text(to_text(bad)));
    bad = record;
    bad.last_batch = 1;
    CHECK_FALSE(step_record_from_text(to_text(bad)));
  }
  SECTION("is refused when a count disagrees with the groups") {
    step_record bad = record;
    bad.batches[1].count = 2;
    CHECK_FALSE(step_record_from_text(to_text(bad)));
  }
  SECTION("damaged documents never crash the reader") {
    testing::check_property("mutated step records", [&] {
      testing::check_damaged(to_text(record),
                             [](const std::string& it) { return step_record_from_text(it); });
    });
  }
}

TEST_CASE("opening a step checks what the trainer sent") {
  step_spec spec{"model", 5, 2, 64, {{"a", "p", 2}}};
  CHECK(step_spec_from_text(to_text(spec)).value() == spec);
  SECTION("two groups with one id") {
    spec.groups.push_back({"a", "q", 1});
    CHECK_FALSE(check(spec));
  }
  SECTION("a group without samples") {
    spec.groups[0].size = 0;
    CHECK_FALSE(check(spec));
  }
  SECTION("prompts that do not fit the record") {
    spec.groups[0].prompt.assign(max_store_value_bytes, 'a');
    CHECK_FALSE(check(spec));
  }
}

} // namespace boragedoor::ledger

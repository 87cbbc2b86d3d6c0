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

TEST_CASE("a step record is written as JSON and validated when parsed") {
  const step_record record = sample_record();
  SECTION("a step record is unchanged after a JSON round trip") {
    const auto copy = step_record_from_text(to_text(record));
    REQUIRE(copy);
    CHECK(copy.value() == record);
  }
  SECTION("a record with a group in two batches that are not voided is rejected") {
    step_record bad = record;
    bad.batches[0].state = batch_state::listed;
    CHECK_FALSE(step_record_from_text(to_text(bad)));
  }
  SECTION("a record whose batch numbers do not ascend or exceed last_batch is rejected") {
    step_record bad = record;
    bad.batches[0].n = 2;
    CHECK_FALSE(step_record_from_text(to_text(bad)));
    bad = record;
    bad.last_batch = 1;
    CHECK_FALSE(step_record_from_text(to_text(bad)));
  }
  SECTION("a record with a batch count that does not match its groups is rejected") {
    step_record bad = record;
    bad.batches[1].count = 2;
    CHECK_FALSE(step_record_from_text(to_text(bad)));
  }
  SECTION("parsing a damaged record never crashes") {
    testing::check_property("mutated step records", [&] {
      testing::check_damaged(to_text(record),
                             [](const std::string& it) { return step_record_from_text(it); });
    });
  }
}

TEST_CASE("a step specification is validated") {
  step_spec spec{"model", 5, 2, 64, {{"a", "p", 2}}};
  CHECK(step_spec_from_text(to_text(spec)).value() == spec);
  SECTION("a specification with a duplicate group id is rejected") {
    spec.groups.push_back({"a", "q", 1});
    CHECK_FALSE(validate(spec));
  }
  SECTION("a specification with an empty group is rejected") {
    spec.groups[0].size = 0;
    CHECK_FALSE(validate(spec));
  }
  SECTION("a specification whose prompts do not fit into the record is rejected") {
    spec.groups[0].prompt.assign(max_store_value_bytes, 'a');
    CHECK_FALSE(validate(spec));
  }
}

} // namespace boragedoor::ledger

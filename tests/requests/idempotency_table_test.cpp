#include "requests/idempotency_table.h"

#include "requests/idempotency_simulation.h"
#include "requests/naive_idempotency_table.h"
#include "support/mutate.h"
#include "support/property.h"

namespace boragedoor::requests {

namespace {

template <class T>
const T* first(const idempotency_actions& out) {
  for (const idempotency_action& it : out) {
    if (const T* found = std::get_if<T>(&it)) {
      return found;
    }
  }
  return nullptr;
}

const wall_time start{std::chrono::hours(1)};

idempotency_call sample_call(bool send_at_once) {
  return {1, "north", "k", "hash", time_point(seconds(10)), start + seconds(10), send_at_once};
}

idempotency_record sample_record(idempotency_state state) {
  return {
      state, "hash", "i2/b/1", start, start + seconds(10), {200, "text/plain", "done\xff", false}};
}

} // namespace

TEST_CASE("idempotency_table executes a request at most once per key") {
  idempotency_table table = idempotency_table::create("i1", "b1");
  const auto begin_actions = table.begin({}, start, sample_call(false));
  const store_put claim = *first<store_put>(begin_actions);
  CHECK(claim.expect_version == 0);
  CHECK(claim.key == idempotency_record_key("north", "k"));

  SECTION("a request is sent only after its record is durably claimed and marked as sent") {
    auto out = table.finish_write({}, {claim.call, write_outcome::ok, 7});
    REQUIRE(first<request_claimed>(out) != nullptr);
    out = table.mark_sent({}, 1);
    const store_put mark = *first<store_put>(out);
    CHECK(mark.expect_version == 7);
    CHECK(first<send_request>(out) == nullptr);
    SECTION("a response above the size limit is returned whole and stored without its body") {
      out = table.finish_write({}, {mark.call, write_outcome::ok, 8});
      REQUIRE(first<send_request>(out) != nullptr);
      out = table.finish({}, 1, {200, "", std::string(max_stored_response_bytes + 1, 'a'), false});
      CHECK(first<idempotency_reply>(out)->response.body.size() == max_stored_response_bytes + 1);
      CHECK(idempotency_record_from_text(first<store_put>(out)->value).value().response.omitted);
    }
    SECTION("a sent mark with an unknown outcome delays sending until it is read back") {
      CHECK(table.finish_write({}, {mark.call, write_outcome::unknown, 0}).empty());
      const time_point later{seconds(1)};
      const auto read = table.tick(later);
      REQUIRE(first<store_get>(read) != nullptr);
      out = table.finish_read(later, start,
                              {first<store_get>(read)->call, read_outcome::found, mark.value, 8});
      CHECK(first<send_request>(out) != nullptr);
    }
    SECTION("a claim taken over by another instance prevents sending") {
      auto read = table.finish_write({}, {mark.call, write_outcome::conflict, 9});
      out = table.finish_read({}, start,
                              {first<store_get>(read)->call, read_outcome::found,
                               to_text(sample_record(idempotency_state::sent)), 9});
      CHECK(first<send_request>(out) == nullptr);
      CHECK(first<idempotency_reply>(out)->status == idempotency_status::in_progress);
    }
  }
  SECTION("a resend is replied to from the record of an earlier call") {
    const auto status_of = [&](const idempotency_record& record, wall_time wall) {
      auto read = table.finish_write({}, {claim.call, write_outcome::conflict, 5});
      auto out = table.finish_read(
          {}, wall, {first<store_get>(read)->call, read_outcome::found, to_text(record), 5});
      const auto* reply = first<idempotency_reply>(out);
      REQUIRE(reply != nullptr);
      if (reply->status == idempotency_status::answer) {
        CHECK(reply->response == record.response);
      }
      return reply->status;
    };
    const wall_time late = start + seconds(11);
    SECTION("a done record returns the stored response") {
      CHECK(status_of(sample_record(idempotency_state::done), late) == idempotency_status::answer);
    }
    SECTION("a sent record before its deadline is in progress") {
      CHECK(status_of(sample_record(idempotency_state::sent), start) ==
            idempotency_status::in_progress);
    }
    SECTION("a sent record after its deadline has an unknown outcome") {
      CHECK(status_of(sample_record(idempotency_state::sent), late) ==
            idempotency_status::outcome_unknown);
    }
    SECTION("an unknown record has an unknown outcome") {
      CHECK(status_of(sample_record(idempotency_state::unknown), start) ==
            idempotency_status::outcome_unknown);
    }
    SECTION("a record of a different request is a key conflict") {
      idempotency_record other = sample_record(idempotency_state::done);
      other.body_hash = "another";
      CHECK(status_of(other, start) == idempotency_status::key_conflict);
    }
  }
  SECTION("an unsent claim past its deadline is taken over") {
    auto read = table.finish_write({}, {claim.call, write_outcome::conflict, 5});
    auto out = table.finish_read({}, start + seconds(11),
                                 {first<store_get>(read)->call, read_outcome::found,
                                  to_text(sample_record(idempotency_state::claimed)), 5});
    REQUIRE(first<store_put>(out) != nullptr);
    CHECK(first<store_put>(out)->expect_version == 5);
  }
  SECTION("an unresponsive store yields store_unavailable, not not_executed") {
    table.finish_write({}, {claim.call, write_outcome::unknown, 0});
    const auto out = table.tick(time_point(seconds(10)));
    CHECK(first<idempotency_reply>(out)->status == idempotency_status::store_unavailable);
  }
  SECTION("a released call is not_executed once its claim is removed") {
    table.finish_write({}, {claim.call, write_outcome::ok, 7});
    auto out = table.release({}, 1);
    CHECK(first<idempotency_reply>(out) == nullptr);
    CHECK(first<store_delete>(out)->expect_version == 7);
    out = table.finish_write({}, {first<store_delete>(out)->call, write_outcome::ok, 0});
    CHECK(first<idempotency_reply>(out)->status == idempotency_status::not_executed);
    CHECK(table.size() == 0);
  }
}

TEST_CASE("idempotency records are encoded, parsed and expired") {
  idempotency_table table = idempotency_table::create("i1", "b1");
  const idempotency_record record = sample_record(idempotency_state::done);
  SECTION("a record with a non-UTF-8 body survives a round trip through JSON") {
    CHECK(idempotency_record_from_text(to_text(record)).value() == record);
  }
  SECTION("a record older than a day is removed at the version that was read") {
    CHECK(table.expire({}, start + std::chrono::hours(23), "k", to_text(record), 4).empty());
    const auto out = table.expire({}, start + std::chrono::hours(25), "k", to_text(record), 4);
    REQUIRE(first<store_delete>(out) != nullptr);
    CHECK(first<store_delete>(out)->expect_version == 4);
  }
  SECTION("damaged records do not crash the parser") {
    testing::check_property("parsing mutated idempotency records", [&] {
      testing::check_damaged(
          to_text(record), [](const std::string& it) { return idempotency_record_from_text(it); });
    });
  }
}

TEST_CASE("idempotency_table executes at most once and replies not_executed only if true, despite "
          "faults") {
  testing::fault_counts counts;
  testing::check_property("three instances with crashes, pauses and lost responses", [&] {
    const auto seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed");
    idempotency_simulation run(seed, counts);
    run.run(4000);
    for (const std::string& it : run.violations()) {
      RC_FAIL(it);
    }
    RC_ASSERT(run.unanswered() == 0U);
  });
  counts.print("idempotency");
}

TEST_CASE("idempotency_checker detects violations by the naive table") {
  idempotency_checker checker;
  const auto call = [&](naive_idempotency_table& at, std::uint64_t id) {
    auto response = at.begin({}, "north", "k");
    if (!response) {
      response = checker.on_executed("k", "hash", id);
      at.finish({}, "north", "k", *response);
    }
    checker.on_reply(1, "k", "hash", id, idempotency_status::answer, *response);
  };
  naive_idempotency_table one;
  naive_idempotency_table two;
  call(one, 1);
  SECTION("a resend to the same instance is no violation") {
    call(one, 2);
    CHECK(checker.violations().empty());
  }
  SECTION("a resend to another instance is executed twice") {
    call(two, 2);
    CHECK(checker.violations().size() == 1);
  }
  SECTION("a false not_executed is detected") {
    checker.on_reply(1, "k", "hash", 3, idempotency_status::not_executed, {});
    CHECK(checker.violations().size() == 1);
  }
  SECTION("a false not_executed for the executed call is detected even if its record was absent "
          "before") {
    idempotency_checker other;
    other.on_record_absent(1, "k", 5);
    other.on_executed("k", "hash", 4);
    other.on_reply(1, "k", "hash", 3, idempotency_status::not_executed, {});
    CHECK(other.violations().empty());
    other.on_reply(1, "k", "hash", 4, idempotency_status::not_executed, {});
    CHECK(other.violations().size() == 1);
  }
}

} // namespace boragedoor::requests

#include "requests/once_table.h"

#include "requests/naive_once_table.h"
#include "requests/once_simulation.h"
#include "support/mutate.h"
#include "support/property.h"

namespace boragedoor::requests {

namespace {

template <class T>
const T* first(const once_actions& out) {
  for (const once_action& it : out) {
    if (const T* found = std::get_if<T>(&it)) {
      return found;
    }
  }
  return nullptr;
}

const wall_time start{std::chrono::hours(1)};

once_call sample_call(bool send_at_once) {
  return {1, "north", "k", "hash", time_point(seconds(10)), start + seconds(10), send_at_once};
}

once_record sample_record(once_state state) {
  return {
      state, "hash", "i2/b/1", start, start + seconds(10), {200, "text/plain", "done\xff", false}};
}

} // namespace

TEST_CASE("a request with an idempotency key") {
  once_table table = once_table::create("i1", "b1");
  const auto begun = table.begin({}, start, sample_call(false));
  const store_put claim = *first<store_put>(begun);
  CHECK(claim.expect_version == 0);
  CHECK(claim.key == once_key("north", "k"));

  SECTION("is sent only after claim and mark are durable") {
    auto out = table.finish_write({}, {claim.call, write_outcome::ok, 7});
    REQUIRE(first<request_claimed>(out) != nullptr);
    out = table.mark_sent({}, 1);
    const store_put mark = *first<store_put>(out);
    CHECK(mark.expect_version == 7);
    CHECK(first<send_request>(out) == nullptr);
    SECTION("and its answer is given and stored") {
      out = table.finish_write({}, {mark.call, write_outcome::ok, 8});
      REQUIRE(first<send_request>(out) != nullptr);
      out = table.finish({}, 1, {200, "", std::string(max_stored_answer_bytes + 1, 'a'), false});
      CHECK(first<once_reply>(out)->answer.body.size() == max_stored_answer_bytes + 1);
      CHECK(once_record_from_text(first<store_put>(out)->value).value().answer.omitted);
    }
    SECTION("not if the mark's outcome is unknown until it is read back") {
      CHECK(table.finish_write({}, {mark.call, write_outcome::unknown, 0}).empty());
      const time_point later{seconds(1)};
      const auto read = table.tick(later);
      REQUIRE(first<store_get>(read) != nullptr);
      out = table.finish_read(later, start,
                              {first<store_get>(read)->call, read_outcome::found, mark.value, 8});
      CHECK(first<send_request>(out) != nullptr);
    }
    SECTION("not if another instance has taken the claim over") {
      auto read = table.finish_write({}, {mark.call, write_outcome::conflict, 9});
      out = table.finish_read({}, start,
                              {first<store_get>(read)->call, read_outcome::found,
                               to_text(sample_record(once_state::sent)), 9});
      CHECK(first<send_request>(out) == nullptr);
      CHECK(first<once_reply>(out)->status == once_status::in_progress);
    }
  }
  SECTION("is answered from the record that another call left") {
    const auto status_of = [&](const once_record& record, wall_time wall) {
      auto read = table.finish_write({}, {claim.call, write_outcome::conflict, 5});
      auto out = table.finish_read(
          {}, wall, {first<store_get>(read)->call, read_outcome::found, to_text(record), 5});
      const auto* reply = first<once_reply>(out);
      REQUIRE(reply != nullptr);
      if (reply->status == once_status::answer) {
        CHECK(reply->answer == record.answer);
      }
      return reply->status;
    };
    const wall_time late = start + seconds(11);
    SECTION("done") {
      CHECK(status_of(sample_record(once_state::done), late) == once_status::answer);
    }
    SECTION("sent, within its deadline") {
      CHECK(status_of(sample_record(once_state::sent), start) == once_status::in_progress);
    }
    SECTION("sent, after its deadline") {
      CHECK(status_of(sample_record(once_state::sent), late) == once_status::outcome_unknown);
    }
    SECTION("unknown") {
      CHECK(status_of(sample_record(once_state::unknown), start) == once_status::outcome_unknown);
    }
    SECTION("of another request") {
      once_record other = sample_record(once_state::done);
      other.body_hash = "another";
      CHECK(status_of(other, start) == once_status::key_conflict);
    }
  }
  SECTION("takes over a claim whose deadline has passed and that was not sent") {
    auto read = table.finish_write({}, {claim.call, write_outcome::conflict, 5});
    auto out = table.finish_read({}, start + seconds(11),
                                 {first<store_get>(read)->call, read_outcome::found,
                                  to_text(sample_record(once_state::claimed)), 5});
    REQUIRE(first<store_put>(out) != nullptr);
    CHECK(first<store_put>(out)->expect_version == 5);
  }
  SECTION("is refused without a claim that nothing ran when the store does not answer") {
    table.finish_write({}, {claim.call, write_outcome::unknown, 0});
    const auto out = table.tick(time_point(seconds(10)));
    CHECK(first<once_reply>(out)->status == once_status::store_unavailable);
  }
  SECTION("that is released is not_executed once the claim is gone") {
    table.finish_write({}, {claim.call, write_outcome::ok, 7});
    auto out = table.release({}, 1);
    CHECK(first<once_reply>(out) == nullptr);
    CHECK(first<store_delete>(out)->expect_version == 7);
    out = table.finish_write({}, {first<store_delete>(out)->call, write_outcome::ok, 0});
    CHECK(first<once_reply>(out)->status == once_status::not_executed);
    CHECK(table.size() == 0);
  }
}

TEST_CASE("records of idempotency keys") {
  once_table table = once_table::create("i1", "b1");
  const once_record record = sample_record(once_state::done);
  SECTION("survive their JSON form, with bytes that are not UTF-8") {
    CHECK(once_record_from_text(to_text(record)).value() == record);
  }
  SECTION("are removed when they are a day old, at the version that was read") {
    CHECK(table.expire({}, start + std::chrono::hours(23), "k", to_text(record), 4).empty());
    const auto out = table.expire({}, start + std::chrono::hours(25), "k", to_text(record), 4);
    REQUIRE(first<store_delete>(out) != nullptr);
    CHECK(first<store_delete>(out)->expect_version == 4);
  }
  SECTION("never crash the reader when they are damaged") {
    testing::check_property("mutated records of idempotency keys", [&] {
      testing::check_damaged(to_text(record),
                             [](const std::string& it) { return once_record_from_text(it); });
    });
  }
}

TEST_CASE("a request runs at most once per key and not_executed is true") {
  testing::fault_counts counts;
  testing::check_property("across three instances with deaths, pauses and lost answers", [&] {
    const auto seed =
        *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()).as("seed");
    once_simulation run(seed, counts);
    run.run(4000);
    for (const std::string& it : run.violations()) {
      RC_FAIL(it);
    }
    RC_ASSERT(run.unanswered() == 0U);
  });
  counts.print("once");
}

TEST_CASE("the checker finds what the naive table does wrong") {
  once_checker checker;
  const auto call = [&](naive_once_table& at, std::uint64_t id) {
    auto answer = at.begin({}, "north", "k");
    if (!answer) {
      answer = checker.executed("k", "hash", id);
      at.finish({}, "north", "k", *answer);
    }
    checker.replied(1, "k", "hash", id, once_status::answer, *answer);
  };
  naive_once_table one;
  naive_once_table two;
  call(one, 1);
  SECTION("a resend to the same instance is right") {
    call(one, 2);
    CHECK(checker.violations().empty());
  }
  SECTION("a resend to another instance runs again") {
    call(two, 2);
    CHECK(checker.violations().size() == 1);
  }
  SECTION("a wrong not_executed is noticed") {
    checker.replied(1, "k", "hash", 3, once_status::not_executed, {});
    CHECK(checker.violations().size() == 1);
  }
  SECTION("and so is one for the call that ran, whatever was seen before") {
    once_checker other;
    other.gone(1, "k", 5);
    other.executed("k", "hash", 4);
    other.replied(1, "k", "hash", 3, once_status::not_executed, {});
    CHECK(other.violations().empty());
    other.replied(1, "k", "hash", 4, once_status::not_executed, {});
    CHECK(other.violations().size() == 1);
  }
}

} // namespace boragedoor::requests

#include "http1/byte_budget.h"

#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

namespace boragedoor::http1 {

namespace {

/// An exchange that holds bytes until it is ended.
struct holder {
  holder(const std::shared_ptr<byte_budget>& budget, byte_use use, const std::string& name)
      : account(budget, use, name, [this] {
          ++ended;
          account.set(0);
        }) {}

  byte_account account;
  int ended = 0;
};

/// Lets the loop run what was posted.
void run_once(net::event_loop& loop) {
  bool done = false;
  loop.post([&] { done = true; });
  REQUIRE(loop.run_until([&] { return done; }, seconds(5)));
}

} // namespace

// Guards against peers that send bytes without end ending the exchanges of others, or the process.
TEST_CASE("exchanges that hold most are ended when a process holds too many bytes") {
  constexpr std::size_t limit = 1'000'000;
  auto loop = net::event_loop::create().value();
  const auto budget = byte_budget::create(*loop, limit);
  std::vector<ended_exchange> ended;
  budget->exchange_ended.connect([&](const ended_exchange& it) { ended.push_back(it); });
  holder small(budget, byte_use::request_body, "small");
  holder large(budget, byte_use::response_body, "large");
  holder larger(budget, byte_use::output, "larger");
  small.account.set(1000);
  large.account.set(400'000);

  SECTION("not within the limit") {
    larger.account.set(500'000);
    run_once(*loop);
    CHECK(ended.empty());
    CHECK(budget->used() == 901'000);
    CHECK(budget->used(byte_use::response_body) == 400'000);
  }

  SECTION("and one that is kept at that moment counts again") {
    // Guards against a request that is passed on just as it is to be ended: its bytes would be left
    // out of the account for as long as an endpoint has it.
    larger.account.set(700'000);
    CHECK(larger.account.is_ending());
    CHECK_FALSE(budget->is_exceeded());
    larger.account.keep();
    CHECK(budget->is_exceeded());
    run_once(*loop);
    CHECK(larger.ended == 0);
    larger.account.set(0);
    CHECK_FALSE(budget->is_exceeded());
    CHECK(budget->has_room_for(limit - 401'000));
  }

  SECTION("the largest beyond it, and the others go on") {
    larger.account.set(700'000);
    CHECK(larger.ended == 0);
    run_once(*loop);
    CHECK(larger.ended == 1);
    CHECK(large.ended + small.ended == 0);
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().use == byte_use::output);
    CHECK(ended.front().peer == "larger");
    CHECK(ended.front().bytes == 700'000);
    CHECK(budget->used() == 401'000);
    CHECK(budget->peak() == 1'101'000);
  }

  SECTION("those of unknown length before others") {
    larger.account.set_length_known(true);
    larger.account.set(700'000);
    run_once(*loop);
    CHECK(larger.ended == 0);
    CHECK(large.ended == 1);
  }

  SECTION("but not one that must be kept") {
    larger.account.keep();
    larger.account.set(1'700'000);
    run_once(*loop);
    CHECK(larger.ended == 0);
    CHECK(large.ended == 1);
    CHECK(small.ended == 1);
  }

  SECTION("nor one that has ended by itself in the meantime") {
    larger.account.set(700'000);
    larger.account.set(0);
    run_once(*loop);
    CHECK(ended.empty());
  }

  SECTION("small messages always have room, large ones only below the limit") {
    CHECK(budget->has_room_for(500'000));
    CHECK_FALSE(budget->has_room_for(700'000));
    CHECK_FALSE(budget->has_room_for(byte_budget::unlimited));
    larger.account.keep();
    larger.account.set(10 * limit);
    CHECK(budget->has_room_for(1000));
    CHECK_FALSE(budget->has_room_for(100'000));
  }
}

TEST_CASE("a process stays within its limit whichever exchanges grow") {
  constexpr std::size_t limit = 1'000'000;
  constexpr std::size_t piece = 16'384;
  constexpr int seeds = 50;
  constexpr int rounds = 300;
  constexpr std::size_t holders = 40;
  auto loop = net::event_loop::create().value();
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    std::mt19937 random(seed);
    const auto budget = byte_budget::create(*loop, limit);
    std::vector<std::unique_ptr<holder>> all(holders);
    for (auto& it : all) {
      it = std::make_unique<holder>(budget, byte_use::response_body, "x");
    }
    for (int n = 0; n < rounds; ++n) {
      // Each connection reads one piece an iteration of the loop.
      for (const auto& it : all) {
        if (random() % 2 == 0) {
          it->account.set(it->account.bytes() + random() % piece);
        } else if (random() % 20 == 0) {
          it->account.set(0);
        }
      }
      run_once(*loop);
      CHECK(budget->used() <= limit);
    }
    CHECK(budget->peak() <= limit + all.size() * piece);
    all.clear();
    CHECK(budget->used() == 0);
  }
}

} // namespace boragedoor::http1

#include "base/cas_write.h"

#include <catch2/catch.hpp>

namespace boragedoor {

TEST_CASE("a compare-and-swap write") {
  store_caller caller;
  cas_write write("k", "mine", 4);
  const auto put = std::get<store_put>(write.start(caller));
  CHECK(put.expect_version == 4);
  const time_point later{seconds(1)};

  SECTION("that is confirmed is written") {
    CHECK_FALSE(write.finish({}, store_write_result{put.call, write_outcome::ok, 5}, caller));
    CHECK(write.status() == cas_write::state::written);
    CHECK(write.version() == 5);
  }
  SECTION("ignores the results of other calls") {
    write.finish({}, store_write_result{put.call + 1, write_outcome::ok, 5}, caller);
    CHECK(write.status() == cas_write::state::busy);
  }
  SECTION("without an answer is read back after a delay") {
    CHECK_FALSE(write.finish({}, store_write_result{put.call, write_outcome::unknown, 0}, caller));
    CHECK_FALSE(write.tick({}, caller));
    const auto get = std::get<store_get>(write.tick(later, caller).value());
    SECTION("and recognised if it took effect") {
      write.finish(later, store_read_result{get.call, read_outcome::found, "mine", 6}, caller);
      CHECK(write.status() == cas_write::state::written);
      CHECK(write.version() == 6);
      CHECK(write.read_back());
    }
    SECTION("and written again with the same value if it did not") {
      write.finish(later, store_read_result{get.call, read_outcome::found, "old", 4}, caller);
      const auto again = std::get<store_put>(write.tick(later + seconds(1), caller).value());
      CHECK(again.value == "mine");
      CHECK(again.expect_version == 4);
      SECTION("and recognised if the first write was only late") {
        const auto read = std::get<store_get>(
            write.finish(later, store_write_result{again.call, write_outcome::conflict, 7}, caller)
                .value());
        write.finish(later, store_read_result{read.call, read_outcome::found, "mine", 7}, caller);
        CHECK(write.status() == cas_write::state::written);
      }
    }
    SECTION("and read again if that has no answer either") {
      write.finish(later, store_read_result{get.call, read_outcome::unknown, {}, 0}, caller);
      CHECK(std::holds_alternative<store_get>(write.tick(later + seconds(1), caller).value()));
    }
    SECTION("and refused if the key has another value or is gone") {
      write.finish(later, store_read_result{get.call, read_outcome::missing, {}, 0}, caller);
      CHECK(write.status() == cas_write::state::refused);
      CHECK(write.version() == 0);
    }
  }
  SECTION("that conflicts with another value is refused") {
    const auto get = std::get<store_get>(
        write.finish({}, store_write_result{put.call, write_outcome::conflict, 9}, caller).value());
    write.finish({}, store_read_result{get.call, read_outcome::found, "theirs", 9}, caller);
    CHECK(write.status() == cas_write::state::refused);
    CHECK(write.found() == "theirs");
    CHECK(caller.counts().puts == 1);
    CHECK(caller.counts().gets == 1);
  }
}

} // namespace boragedoor

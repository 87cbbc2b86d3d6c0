#include "freshness/start_limit.h"

#include "support/property.h"

namespace boragedoor::freshness {

TEST_CASE("limit of open groups") {
  auto policy = start_limit::create({}).value();
  const time_point complete{seconds(100)};
  CHECK(policy.limit("tags") == 48);

  SECTION("falls while complete groups wait long for the trainer") {
    for (int i = 0; i < 50; ++i) {
      policy.taken("tags", complete, complete + seconds(30));
    }
    CHECK(policy.limit("tags") < 32);
    CHECK(policy.limit("faults") == 48);
    SECTION("and rises again while the trainer idles") {
      policy.idle("tags", seconds(20));
      CHECK(policy.limit("tags") > 40);
    }
  }
  SECTION("stays when they are taken in time, so that the trainer has a reserve") {
    policy.taken("tags", complete, complete + seconds(20));
    CHECK(policy.limit("tags") == 48);
  }
  SECTION("never stops a trainer altogether") {
    testing::check_property("nor grows without bound", [&] {
      for (int i = 0; i < 500; ++i) {
        if (*rc::gen::arbitrary<bool>()) {
          policy.taken("tags", complete, complete + seconds(60));
        } else {
          policy.idle("tags", seconds(*rc::gen::inRange(0, 600)));
        }
        RC_ASSERT(policy.limit("tags") >= 2);
        RC_ASSERT(policy.limit("tags") <= 4096);
      }
    });
  }
}

} // namespace boragedoor::freshness

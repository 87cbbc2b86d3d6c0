#include "admission/length_predictor.h"

#include <algorithm>

#include "support/property.h"

namespace boragedoor::admission {

TEST_CASE("length predictor") {
  auto lengths = length_predictor::create({}).value();
  SECTION("starts at the stated length") {
    CHECK(lengths.predict("w", "rollout", 4096) == 4096);
    CHECK(lengths.predict("w", "rollout", 0) == 512);
  }
  SECTION("approaches the observed lengths of the workspace") {
    int last = 4096;
    for (int i = 0; i < 16; ++i) {
      lengths.record("w", "rollout", 200);
      CHECK(lengths.predict("w", "rollout", 4096) < last);
      last = lengths.predict("w", "rollout", 4096);
    }
    CHECK(last == 200);
    SECTION("does not change the prediction of other workspaces or classes") {
      CHECK(lengths.predict("v", "rollout", 4096) == 4096);
      CHECK(lengths.predict("w", "interactive", 4096) == 4096);
    }
    SECTION("follows a change of the observed lengths") {
      for (int i = 0; i < 128; ++i) {
        lengths.record("w", "rollout", 900);
      }
      CHECK(lengths.predict("w", "rollout", 4096) == 900);
    }
  }
}

TEST_CASE("length predictor compared with a sorted list") {
  testing::check_property("is the quantile of the last lengths, limited by the stated one", [] {
    const length_options options;
    auto lengths = length_predictor::create(options).value();
    auto list = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 3000));
    for (const int it : list) {
      lengths.record("w", "k", it);
    }
    std::vector<int> last(list.end() - static_cast<std::ptrdiff_t>(options.window), list.end());
    std::sort(last.begin(), last.end());
    // The smallest length that at least 80% of the other lengths do not exceed.
    const int expected = last[102];
    const int stated = *rc::gen::inRange(1, 4000);
    RC_ASSERT(lengths.predict("w", "k", stated) == std::min(expected, stated));
  });
}

} // namespace boragedoor::admission

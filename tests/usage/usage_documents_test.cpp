#include "usage/usage_documents.h"

#include "support/mutate.h"
#include "support/property.h"

namespace boragedoor::usage {

TEST_CASE("usage documents") {
  const usage_table table = {{{"north", "online", 0}, {1, 2, 3, 4}},
                             {{"north", "batch", 41}, {5, 6, 7, 8}}};
  const usage_source source{"i1", "b1"};
  usage_checkpoint checkpoint{7, {{42, {{source, {3, table}}}}}, {40, 41}};
  const frozen_window frozen{2, 42, report_id(42, 2), {{source, {3, table}}}};

  SECTION("survive their JSON form") {
    CHECK(usage_checkpoint_from_text(to_text(checkpoint)).value() == checkpoint);
    CHECK(frozen_window_from_text(to_text(frozen)).value() == frozen);
    const usage_flush flush{source, 2, 9, {{42, table}}};
    CHECK(usage_flush_from_json(parse_cbor(to_cbor(to_json(flush))).value()).value() == flush);
    const usage_window_frozen notice{source, 2, 42, table};
    CHECK(usage_window_frozen_from_json(to_json(notice)).value().included == table);
    CHECK(
        usage_flush_merged_from_json(to_json(usage_flush_merged{source, 2, 9, 7})).value().token ==
        7);
  }
  SECTION("a message for a shard that does not exist is refused") {
    CHECK_FALSE(usage_flush_from_json(to_json(usage_flush{source, shard_count, 9, {}})));
  }
  SECTION("damaged documents never crash the reader") {
    testing::check_property("mutated usage documents", [&] {
      testing::check_damaged(to_text(checkpoint),
                             [](const std::string& it) { return usage_checkpoint_from_text(it); });
      testing::check_damaged(to_text(frozen),
                             [](const std::string& it) { return frozen_window_from_text(it); });
    });
  }
}

} // namespace boragedoor::usage

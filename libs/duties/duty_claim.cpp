#include "duties/duty_claim.h"

#include <algorithm>
#include <utility>

#include "duties/member_table.h"

namespace boragedoor::duties {

duty_claim::duty_claim(std::string member_id, time_point started, const duty_claim_options& options)
    : member_id_(std::move(member_id)), options_(options), last_acted_(started) {}

bool duty_claim::try_start(time_point now) {
  if (holds() || in_progress_ || now < next_claim_) {
    return false;
  }
  in_progress_ = true;
  cancelled_ = false;
  next_claim_ = now + options_.retry_delay;
  return true;
}

claim_decision duty_claim::decide(const duty_record& record, const holder_entry& holder,
                                  time_point now) {
  if (cancelled_) {
    in_progress_ = false;
    return claim_postponed{};
  }
  // A holder whose entry was created after its claim has lost its lease in between, and the duties
  // with it.
  const bool has_kept_lease = holder.revision != 0 && holder.created < record.revision;
  if (record.holder == member_id_) {
    // The record may be written long before its response is read back, so the pause is kept.
    takes_over_ = true;
    if (has_kept_lease && record.revision != rejected_token_) {
      in_progress_ = false;
      token_ = record.revision;
      acts_from_ = now + options_.takeover_pause;
      return claim_adopted{};
    }
    return claim_write{
        .record_revision = record.revision, .previous_holder = {}, .previous_entry_revision = 0};
  }
  takes_over_ = !record.holder.empty() && instance_of(record.holder) != instance_of(member_id_);
  const bool holder_is_live = has_kept_lease && !holder.draining;
  const bool acted_recently = takes_over_ && now - last_acted_ < options_.lease_ttl;
  if (holder_is_live || acted_recently) {
    in_progress_ = false;
    return claim_postponed{};
  }
  return claim_write{.record_revision = record.revision,
                     .previous_holder = record.holder,
                     .previous_entry_revision = holder.revision};
}

void duty_claim::written(std::uint64_t revision, time_point now) {
  in_progress_ = false;
  if (cancelled_) {
    return;
  }
  token_ = revision;
  acts_from_ = takes_over_ ? now + options_.takeover_pause : now;
}

void duty_claim::fail() {
  in_progress_ = false;
}

bool duty_claim::release(time_point now) {
  cancelled_ = true;
  if (!holds()) {
    return false;
  }
  token_ = 0;
  last_acted_ = now;
  return true;
}

bool duty_claim::reject(std::uint64_t token, time_point now) {
  if (token == 0 || token != token_) {
    return false;
  }
  rejected_token_ = token;
  next_claim_ = now + options_.lease_ttl;
  return release(now);
}

std::optional<std::uint64_t> duty_claim::token(time_point now) const {
  return holds() && now >= acts_from_ ? std::optional(token_) : std::nullopt;
}

} // namespace boragedoor::duties

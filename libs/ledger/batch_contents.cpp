#include "ledger/batch_contents.h"

#include <algorithm>

#include "base/hash.h"

namespace boragedoor::ledger {

std::uint32_t part_count(std::size_t bytes) {
  return static_cast<std::uint32_t>((bytes + max_store_value_bytes - 1) / max_store_value_bytes);
}

batch_contents::batch_contents(std::string trainer, std::uint64_t step, duration retry_delay,
                               duration max_retry_delay)
    : trainer_(std::move(trainer)), step_(step), delay_(retry_delay, max_retry_delay) {}

std::string batch_contents::key(std::uint64_t batch_number, std::uint32_t part) const {
  return batch_key(trainer_, step_, batch_number, part);
}

store_call batch_contents::write(store_caller& caller, std::uint64_t batch_number,
                                 std::string content) {
  write_state_ = write_state::busy;
  write_batch_number_ = batch_number;
  write_part_index_ = 0;
  write_content_ = std::move(content);
  return write_part(caller);
}

store_call batch_contents::write_part(store_caller& caller) {
  const std::size_t start = std::size_t{write_part_index_} * max_store_value_bytes;
  write_.emplace(key(write_batch_number_, write_part_index_),
                 write_content_.substr(start, max_store_value_bytes), 0, delay_);
  return write_->start(caller);
}

std::optional<store_call> batch_contents::continue_write(store_caller& caller) {
  if (!write_ || write_->status() == cas_write::state::busy) {
    return std::nullopt;
  }
  const bool refused = write_->status() == cas_write::state::refused;
  write_.reset();
  if (refused) {
    write_state_ = write_state::refused;
    return std::nullopt;
  }
  if (++write_part_index_ < part_count(write_content_.size())) {
    return write_part(caller);
  }
  contents_[write_batch_number_] = std::move(write_content_);
  write_state_ = write_state::stored;
  return std::nullopt;
}

void batch_contents::end_write() {
  write_state_ = write_state::none;
  write_content_.clear();
}

const std::string* batch_contents::find(std::uint64_t batch_number) const {
  const auto it = contents_.find(batch_number);
  return it == contents_.end() ? nullptr : &it->second;
}

std::optional<store_call> batch_contents::read(store_caller& caller, const batch_entry& entry) {
  if (reading_) {
    return std::nullopt;
  }
  store_get get = caller.get(key(entry.n, 0));
  reading_ = reading{entry, 0, {}, get.call, std::nullopt, delay_};
  return get;
}

std::vector<store_call> batch_contents::erase(store_caller& caller, std::uint64_t batch_number,
                                              std::uint32_t parts) {
  contents_.erase(batch_number);
  std::vector<store_call> calls;
  if (erased_.contains(batch_number) || pending_part_deletions_.contains(batch_number)) {
    return calls;
  }
  pending_part_deletions_[batch_number] = parts;
  for (std::uint32_t part = 0; part < parts; ++part) {
    store_delete call = caller.erase(key(batch_number, part));
    deletions_[call.call] = deletion{batch_number, part, std::nullopt, delay_};
    calls.emplace_back(std::move(call));
  }
  return calls;
}

void batch_contents::finish_deletion(time_point now, const store_write_result& result) {
  const auto it = deletions_.find(result.call);
  if (it == deletions_.end() || it->second.retry_at) {
    return;
  }
  if (result.outcome == write_outcome::unknown) {
    it->second.retry_at = now + it->second.delay.next();
    return;
  }
  // A conflict means that the key is already deleted.
  const std::uint64_t batch_number = it->second.n;
  deletions_.erase(it);
  if (--pending_part_deletions_[batch_number] == 0) {
    pending_part_deletions_.erase(batch_number);
    erased_.insert(batch_number);
  }
}

std::vector<store_call> batch_contents::finish(time_point now, const store_write_result& result,
                                               store_caller& caller) {
  std::vector<store_call> calls;
  finish_deletion(now, result);
  if (write_) {
    if (auto call = write_->finish(now, result, caller)) {
      calls.push_back(std::move(*call));
    }
    if (auto call = continue_write(caller)) {
      calls.push_back(std::move(*call));
    }
  }
  return calls;
}

std::vector<store_call> batch_contents::finish(time_point now, const store_read_result& result,
                                               store_caller& caller) {
  std::vector<store_call> calls;
  if (write_) {
    (void)write_->finish(now, result, caller);
    if (auto call = continue_write(caller)) {
      calls.push_back(std::move(*call));
    }
  }
  if (auto call = finish_reading(now, result, caller)) {
    calls.push_back(std::move(*call));
  }
  return calls;
}

std::optional<store_call> batch_contents::finish_reading(time_point now,
                                                         const store_read_result& result,
                                                         store_caller& caller) {
  if (!reading_ || reading_->call == 0 || result.call != reading_->call) {
    return std::nullopt;
  }
  reading_->call = 0;
  if (result.outcome == read_outcome::unknown) {
    reading_->retry_at = now + reading_->delay.next();
    return std::nullopt;
  }
  reading_->content += result.value;
  const batch_entry& entry = reading_->entry;
  const bool missing = result.outcome == read_outcome::missing;
  if (!missing && ++reading_->part < entry.parts) {
    store_get get = caller.get(key(entry.n, reading_->part));
    reading_->call = get.call;
    return get;
  }
  if (erased_.contains(entry.n) || pending_part_deletions_.contains(entry.n)) {
    // The batch was acknowledged or voided during the read; its content is no longer needed.
  } else if (missing || sha256_hex(reading_->content) != entry.hash) {
    damaged_.insert(entry.n);
  } else {
    contents_[entry.n] = std::move(reading_->content);
  }
  reading_.reset();
  return std::nullopt;
}

std::vector<store_call> batch_contents::tick(time_point now, store_caller& caller) {
  std::vector<store_call> calls;
  if (write_) {
    if (auto call = write_->tick(now, caller)) {
      calls.push_back(std::move(*call));
    }
  }
  if (reading_ && reading_->retry_at && now >= *reading_->retry_at) {
    store_get get = caller.get(key(reading_->entry.n, reading_->part));
    reading_->call = get.call;
    reading_->retry_at.reset();
    calls.emplace_back(std::move(get));
  }
  for (store_call& call : retry_deletions(now, caller)) {
    calls.push_back(std::move(call));
  }
  return calls;
}

std::vector<store_call> batch_contents::retry_deletions(time_point now, store_caller& caller) {
  std::vector<store_call> calls;
  std::vector<deletion> due;
  std::erase_if(deletions_, [&](const auto& it) {
    const bool is_due = it.second.retry_at && now >= *it.second.retry_at;
    if (is_due) {
      due.push_back(it.second);
    }
    return is_due;
  });
  for (deletion& it : due) {
    store_delete call = caller.erase(key(it.n, it.part));
    it.retry_at.reset();
    deletions_[call.call] = it;
    calls.emplace_back(std::move(call));
  }
  return calls;
}

std::optional<time_point> batch_contents::next_wakeup() const {
  std::optional<time_point> at;
  const auto consider = [&at](const std::optional<time_point>& it) {
    if (it && (!at || *it < *at)) {
      at = it;
    }
  };
  if (write_) {
    consider(write_->next_wakeup());
  }
  if (reading_) {
    consider(reading_->retry_at);
  }
  for (const auto& [call, it] : deletions_) {
    consider(it.retry_at);
  }
  return at;
}

} // namespace boragedoor::ledger

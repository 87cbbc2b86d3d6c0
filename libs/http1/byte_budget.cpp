#include "http1/byte_budget.h"

#include <algorithm>
#include <utility>

namespace boragedoor::http1 {

std::string_view to_string(byte_use it) {
  switch (it) {
  case byte_use::request_body:
    return "request_body";
  case byte_use::response_body:
    return "response_body";
  case byte_use::output:
    return "output";
  case byte_use::job:
    return "job";
  }
  return "unknown";
}

std::shared_ptr<byte_budget> byte_budget::create(net::event_loop& loop, std::size_t limit) {
  return std::shared_ptr<byte_budget>(new byte_budget(loop, limit));
}

void byte_budget::change(byte_account& account, std::size_t bytes) {
  used_ += bytes - account.bytes_;
  used_by_use_[static_cast<std::size_t>(account.use_)] += bytes - account.bytes_;
  if (account.ending_) {
    ending_ += bytes - account.bytes_;
  }
  const bool grows = bytes > account.bytes_;
  account.bytes_ = bytes;
  if (bytes == 0) {
    account.ending_ = false;
    accounts_.erase(&account);
  } else {
    accounts_.insert(&account);
  }
  peak_ = std::max(peak_, used_);
  if (grows && is_exceeded()) {
    end_largest();
  }
}

void byte_budget::end_largest() {
  const auto order = [](const byte_account* it) {
    return std::pair(!it->length_known_, it->bytes_);
  };
  while (is_exceeded()) {
    byte_account* largest = nullptr;
    for (byte_account* const it : accounts_) {
      if (it->end_ && !it->ending_ && (largest == nullptr || order(largest) < order(it))) {
        largest = it;
      }
    }
    if (largest == nullptr) {
      return;
    }
    largest->ending_ = true;
    ending_ += largest->bytes_;
    loop_.post([self = weak_from_this(), alive = largest->alive_, largest] {
      const auto budget = self.lock();
      if (!budget || !*alive || !largest->ending_ || !largest->end_) {
        return;
      }
      budget->exchange_ended.emit({largest->use_, largest->peer_, largest->bytes_});
      largest->end_();
    });
  }
}

byte_account::byte_account(std::shared_ptr<byte_budget> budget, byte_use use, std::string peer,
                           std::function<void()> end)
    : budget_(std::move(budget)), use_(use), peer_(std::move(peer)), end_(std::move(end)) {}

byte_account::~byte_account() {
  *alive_ = false;
  set(0);
}

void byte_account::keep() {
  end_ = nullptr;
  if (std::exchange(ending_, false)) {
    budget_->ending_ -= bytes_;
  }
}

void byte_account::set(std::size_t bytes) {
  if (bytes != bytes_) {
    budget_->change(*this, bytes);
  }
}

} // namespace boragedoor::http1

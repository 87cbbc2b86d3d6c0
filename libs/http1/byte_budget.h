#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include <sigc++/signal.h>

#include "net/event_loop.h"

namespace boragedoor::http1 {

/// What bytes are held for.
enum class byte_use {
  /// Body of a request, from its arrival until its exchange ends.
  request_body,
  /// Body of a response that is collected.
  response_body,
  /// Output that its receiver has not taken yet.
  output,
  /// Contents of a batch job, from its submission until it is done.
  job,
};

inline constexpr std::size_t byte_use_count = 4;
inline constexpr std::array<byte_use, byte_use_count> all_byte_uses = {
    byte_use::request_body, byte_use::response_body, byte_use::output, byte_use::job};

std::string_view to_string(byte_use it);

/// An exchange that was ended because the process held too many bytes.
struct ended_exchange {
  byte_use use{};
  /// Address of the peer.
  std::string peer;
  std::size_t bytes = 0;
};

class byte_account;

/// Limits the bytes of messages that a process holds, over all its connections.
///
/// Design note: beyond the limit the exchange that holds most is ended, first among those whose
/// length is not known in advance. A peer that sends bytes without end is found in this way, and
/// exchanges that hold little go on. An exchange is ended from the event loop, so the limit may be
/// exceeded by what arrives in one iteration.
class byte_budget : public std::enable_shared_from_this<byte_budget> {
public:
  static constexpr std::size_t small_message_bytes = 64UL * 1024;
  static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

  static std::shared_ptr<byte_budget> create(net::event_loop& loop, std::size_t limit = unlimited);

  [[nodiscard]] std::size_t limit() const { return limit_; }
  [[nodiscard]] std::size_t used() const { return used_; }
  [[nodiscard]] std::size_t used(byte_use use) const {
    return used_by_use_[static_cast<std::size_t>(use)];
  }
  /// Most bytes held at one time.
  [[nodiscard]] std::size_t peak() const { return peak_; }
  /// Whether a message of `bytes` may be added now. Small ones always may: if they are too many,
  /// the largest exchanges are ended.
  [[nodiscard]] bool has_room_for(std::size_t bytes) const {
    const std::size_t kept = used_ - ending_;
    return bytes <= small_message_bytes || (kept <= limit_ && bytes <= limit_ - kept);
  }

  /// Whether more is held than allowed, beside what is being ended.
  [[nodiscard]] bool is_exceeded() const { return used_ - ending_ > limit_; }

  /// Emitted for each exchange that is ended.
  sigc::signal<void(const ended_exchange&)> exchange_ended;

private:
  friend class byte_account;

  byte_budget(net::event_loop& loop, std::size_t limit) : loop_(loop), limit_(limit) {}
  void change(byte_account& account, std::size_t bytes);
  /// Ends exchanges until the others are within the limit.
  void end_largest();

  net::event_loop& loop_;
  std::size_t limit_;
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
  /// Bytes of the accounts whose exchange is being ended.
  std::size_t ending_ = 0;
  std::array<std::size_t, byte_use_count> used_by_use_{};
  /// Accounts that hold bytes.
  std::unordered_set<byte_account*> accounts_;
};

/// The bytes that one exchange holds for one use.
class byte_account {
public:
  /// `end` ends the exchange, so that it holds nothing any more; empty if it cannot be ended.
  byte_account(std::shared_ptr<byte_budget> budget, byte_use use, std::string peer,
               std::function<void()> end);
  ~byte_account();
  byte_account(const byte_account&) = delete;
  byte_account& operator=(const byte_account&) = delete;
  byte_account(byte_account&&) = delete;
  byte_account& operator=(byte_account&&) = delete;

  void set(std::size_t bytes);
  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  /// States whether the length of the message is known in advance.
  void set_length_known(bool known) { length_known_ = known; }
  /// Keeps the exchange from being ended.
  void keep();
  /// Whether the exchange is to be ended.
  [[nodiscard]] bool is_ending() const { return ending_; }

private:
  friend class byte_budget;

  std::shared_ptr<byte_budget> budget_;
  byte_use use_;
  std::string peer_;
  std::function<void()> end_;
  std::size_t bytes_ = 0;
  bool length_known_ = false;
  bool ending_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragedoor::http1

#include "configuration/keys.h"

#include <algorithm>

#include "base/hash.h"
#include "base/name.h"

namespace boragedoor::config {

namespace {

constexpr std::size_t key_id_digits = 16;

} // namespace

std::string key_id_of(std::string_view key) {
  return sha256_hex(key).substr(0, key_id_digits);
}

result<issued_key> issue_key(const configuration& current, std::string_view workspace,
                             std::string_view secret, wall_time now) {
  if (!is_lower_hex(secret, key_secret_bytes * 2)) {
    return error{error_code::invalid_argument, "the secret of a key must be 64 hexadecimal digits"};
  }
  issued_key it{current, std::string(key_prefix) + std::string(secret), {}};
  const std::string digest = sha256_hex(it.key);
  it.key_id = digest.substr(0, key_id_digits);
  const auto owner = std::ranges::find(it.next.workspaces, workspace, &config::workspace::name);
  if (owner == it.next.workspaces.end()) {
    return error{error_code::not_found,
                 "no such workspace; 'boragedoor config show' lists the workspaces"};
  }
  const auto has_id = [&](const config::workspace& other) {
    return std::ranges::find(other.keys, it.key_id, &workspace_key::id) != other.keys.end();
  };
  if (std::ranges::any_of(current.workspaces, has_id)) {
    return error{error_code::conflict, "a key with this id exists; issue the key again"};
  }
  owner->keys.push_back({it.key_id, digest, to_milliseconds(now)});
  std::ranges::sort(owner->keys, {}, &workspace_key::id);
  return it;
}

result<configuration> withdraw_key(const configuration& current, std::string_view key_id) {
  configuration next = current;
  for (auto& it : next.workspaces) {
    const auto found = std::ranges::find(it.keys, key_id, &workspace_key::id);
    if (found != it.keys.end()) {
      it.keys.erase(found);
      return next;
    }
  }
  return error{error_code::not_found,
               "no such key id; 'boragedoor key list' shows the issued keys"};
}

std::optional<key_owner> authenticate(const configuration& current, std::string_view presented) {
  const std::string digest = sha256_hex(presented);
  std::optional<key_owner> owner;
  for (const auto& it : current.workspaces) {
    for (const auto& key : it.keys) {
      if (constant_time_equal(key.sha256, digest)) {
        owner = key_owner{it.name, key.id};
      }
    }
  }
  return owner;
}

} // namespace boragedoor::config

#include "daemon/configuration_task.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/hash.h"
#include "configuration/keys.h"
#include "replication/message.h"

namespace boragedoor::daemon {

namespace {

const std::string head_key = "config/head";

constexpr duration tick_period = milliseconds(100);

// A watch is re-armed after this time. A head that was read this long ago is still good evidence
// of freshness, whose limit is 10 s.
constexpr duration watch_wait = seconds(3);

// Watchers per region (see the design page): two, so that one may fail.
constexpr std::size_t watchers_per_region = 2;

// Wait before the store is read again after a failure.
constexpr duration read_retry = seconds(1);

// Operators wait this long for other instances to confirm a withdrawal.
constexpr duration withdrawal_wait = seconds(3);
constexpr duration fold_period = seconds(2);
constexpr int edit_attempts = 6;
constexpr int proposal_attempts = 2;
constexpr std::size_t history_length = 16;

bool lists_key(std::string_view document, std::string_view key_id) {
  // Key ids are 16 hexadecimal digits and stand in the document as JSON strings, so a search for
  // the quoted text is exact.
  return document.find('"' + std::string(key_id) + '"') != std::string_view::npos;
}

replication::replicator_options make_options(const daemon_context& context) {
  replication::replicator_options options;
  options.self = context.settings.instance.id;
  options.data_centre = context.settings.instance.data_centre;
  options.boot_id = context.boot_id;
  options.heartbeat_interval = context.settings.timing.heartbeat;
  options.is_listed = lists_key;
  options.freshness.self = options.self;
  options.freshness.data_centre = options.data_centre;
  options.freshness.max_age = context.settings.timing.isolation_limit;
  return options;
}

} // namespace

configuration_task::configuration_task(const daemon_context& context, store::store_client& store,
                                       peer_task& peers)
    : context_(context), store_(store), peers_(peers), spread_(make_options(context)),
      timer_(context.loop, [this] { tick(); }) {
  peers_.received().connect(
      [this](const std::string& peer, const json& message) { on_message(peer, message); });
}

void configuration_task::start() {
  read_head();
  timer_.start_periodic(tick_period);
}

void configuration_task::on_list(std::span<const listed_instance> list) {
  members_.clear();
  for (const auto& it : list) {
    members_.push_back({it.id, it.data_centre, it.region, net::to_string(it.peers),
                        it.leaving ? member_state::leaving : member_state::live});
  }
  spread_.on_instance_list(members_);
  if (spread_.neighbours() != neighbours_) {
    neighbours_ = spread_.neighbours();
    neighbours_changed_.emit(neighbours_);
  }
}

void configuration_task::tick() {
  const time_point now = context_.now();
  run(spread_.tick(now));
  if (!reading_ && !watching_) {
    if (is_watcher()) {
      arm_watch();
    } else if (!spread_.is_ready() && now - last_read_ > read_retry) {
      read_head();
    }
  }
  if (now >= next_fold_) {
    next_fold_ = now + fold_period;
    fold_withdrawals();
  }
  check_withdrawals();
  check_state();
}

bool configuration_task::is_watcher() const {
  const auto& self = context_.settings.instance;
  const std::string subject = "watch/" + self.region;
  const std::uint64_t own = rendezvous_weight(subject, self.id);
  const auto ahead = std::ranges::count_if(members_, [&](const member& it) {
    return it.region == self.region && it.state == member_state::live && it.id != self.id &&
           rendezvous_weight(subject, it.id) > own;
  });
  return static_cast<std::size_t>(ahead) < watchers_per_region;
}

void configuration_task::read_head() {
  reading_ = true;
  const time_point sent = context_.now();
  last_read_ = sent;
  // A listing also tells the store revision from which a watch sees every later change.
  store_.list(head_key, [this, sent](const result<store::listing>& answer) {
    reading_ = false;
    if (!answer) {
      return;
    }
    watch_revision_ = answer.value().revision;
    const auto& entries = answer.value().entries;
    accept_head(entries.empty() ? std::nullopt : std::optional(entries.front()), sent);
  });
}

void configuration_task::arm_watch() {
  if (context_.now() - last_read_ < read_retry && watch_revision_ == 0) {
    return;
  }
  if (watch_revision_ == 0) {
    read_head();
    return;
  }
  watching_ = true;
  const time_point sent = context_.now();
  store_.watch(head_key, watch_revision_, watch_wait, [this, sent](const auto& answer) {
    if (!answer) {
      if (answer.error().code == error_code::not_found) {
        watch_revision_ = 0;
      }
      // The pause keeps a store that refuses calls from being asked in a tight loop.
      context_.post_after(read_retry, [this] { watching_ = false; });
      return;
    }
    watching_ = false;
    watch_revision_ = std::max(watch_revision_, answer.value().revision);
    const auto& changes = answer.value().entries;
    if (!changes.empty() && !changes.back().deleted) {
      accept_head(changes.back(), sent);
    } else if (current_) {
      run(spread_.on_store_head(spread_.configuration().current(), sent, context_.now()));
    }
  });
}

void configuration_task::accept_head(const std::optional<store::entry>& head, time_point sent) {
  if (!head) {
    run(spread_.on_store_head(std::nullopt, sent, context_.now()));
    return;
  }
  const auto parsed = config::configuration::parse(head->value, head_key);
  if (!parsed) {
    events::event it;
    it.number = events::event_number::configuration_rejected;
    it.details["reason"] = "the store's head is not a valid configuration";
    context_.record(std::move(it));
    return;
  }
  run(spread_.on_store_head(
      replication::configuration_version{parsed.value().revision, head->value}, sent,
      context_.now()));
}

void configuration_task::run(std::span<const replication::replication_action> actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& it) { carry_out(it); }, action);
  }
}

void configuration_task::carry_out(const replication::send_message& it) {
  const std::string bytes = replication::encode(it.payload);
  peers_.send(it.peer,
              {{"type", "replication"}, {"body", json::binary({bytes.begin(), bytes.end()})}});
}

void configuration_task::carry_out(const replication::configuration_changed& it) {
  const auto& version = spread_.configuration().current();
  auto parsed = config::configuration::parse(version.document, "configuration");
  if (!parsed) {
    return;
  }
  current_ = std::make_shared<const config::configuration>(std::move(parsed).value());
  history_.push_back(current_);
  if (history_.size() > history_length) {
    history_.pop_front();
  }
  events::event entry;
  entry.number = events::event_number::configuration_applied;
  entry.revision = it.revision;
  context_.record(std::move(entry));
  applied_.emit(current_);
  const auto withdrawn = spread_.withdrawn().all();
  for (const auto& key : withdrawn) {
    if (!lists_key(version.document, key.key_id)) {
      spread_.on_withdrawal_stored(key.key_id);
    }
  }
}

void configuration_task::carry_out(const replication::keys_withdrawn& it) {
  for (const auto& key_id : it.key_ids) {
    events::event entry;
    entry.number = events::event_number::key_withdrawn;
    entry.details["key_id"] = key_id;
    context_.record(std::move(entry));
  }
  keys_withdrawn_.emit(it.key_ids);
}

void configuration_task::on_message(const std::string& peer, const json& message) {
  const auto body = message.find("body");
  if (string_field(message, "type") != "replication" || body == message.end() ||
      !body->is_binary()) {
    return;
  }
  const auto& bytes = body->get_binary();
  const auto decoded = replication::decode(
      std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
  if (decoded) {
    run(spread_.on_message(peer, decoded.value(), context_.now()));
  }
}

void configuration_task::write_head(const config::configuration& next, std::uint64_t version,
                                    std::function<void(store::write_result)> done) {
  store::write_request request;
  request.key = head_key;
  request.value = config::to_document(next);
  request.expect_version = version;
  const time_point sent = context_.now();
  const replication::configuration_version accepted{next.revision, request.value};
  store_.write_settled(std::move(request),
                       [this, sent, accepted, done = std::move(done)](store::write_result it) {
                         if (it.outcome == store::write_outcome::ok) {
                           run(spread_.on_store_head(accepted, sent, context_.now()));
                         }
                         done(it);
                       });
}

std::vector<config::change>
configuration_task::changes_since(std::uint64_t revision, const config::configuration& head) const {
  const auto base = std::ranges::find(history_, revision,
                                      [](const configuration_ptr& it) { return it->revision; });
  return base == history_.end() ? std::vector<config::change>{} : config::diff(**base, head);
}

void configuration_task::propose(std::uint64_t based_on, std::string_view document,
                                 std::function<void(const proposal_result&)> done) {
  using outcome = proposal_result::outcome;
  auto parsed = config::configuration::parse(document, "proposal");
  if (!parsed) {
    done({outcome::invalid, 0, parsed.error(), {}});
    return;
  }
  auto next = std::make_shared<config::configuration>(std::move(parsed).value());
  if (next->proposal_id.empty()) {
    next->proposal_id = secure_random_hex(16);
  }
  const auto conflict = std::make_shared<proposal_result>();
  // The second attempt only reads what won the race, so that the loser can be told.
  edit_head(
      proposal_attempts,
      [this, based_on, next,
       conflict](const config::configuration& head) -> result<config::configuration> {
        if (head.revision != based_on) {
          conflict->what = outcome::conflict;
          conflict->revision = head.revision;
          conflict->changes = changes_since(based_on, head);
          return error{error_code::conflict, "the configuration has changed"};
        }
        return *next;
      },
      [conflict, done = std::move(done)](const result<std::uint64_t>& it) {
        if (it) {
          done({outcome::accepted, it.value(), {}, {}});
        } else if (it.error().code == error_code::conflict) {
          conflict->what = outcome::conflict;
          done(*conflict);
        } else if (it.error().code == error_code::outcome_unknown) {
          done({outcome::unknown, 0, {}, {}});
        } else {
          done({outcome::unavailable, 0, {}, {}});
        }
      });
}

void configuration_task::edit_head(int attempts, edit_function edit,
                                   std::function<void(result<std::uint64_t>)> done) {
  store_.get(head_key, [this, attempts, edit = std::move(edit),
                        done = std::move(done)](const auto& answer) mutable {
    if (!answer) {
      done(answer.error());
      return;
    }
    head_state head;
    if (const auto& found = answer.value()) {
      auto parsed = config::configuration::parse(found->value, head_key);
      if (!parsed) {
        done(error{error_code::protocol, "the store's head is not a valid configuration"});
        return;
      }
      head = {std::move(parsed).value(), found->version};
    }
    auto next = edit(head.value);
    if (!next) {
      done(next.error());
      return;
    }
    next.value().revision = head.value.revision + 1;
    const std::uint64_t revision = next.value().revision;
    write_head(next.value(), head.version,
               [this, attempts, revision, edit = std::move(edit),
                done = std::move(done)](store::write_result it) mutable {
                 if (it.outcome == store::write_outcome::ok) {
                   done(revision);
                 } else if (it.outcome == store::write_outcome::conflict && attempts > 1) {
                   edit_head(attempts - 1, std::move(edit), std::move(done));
                 } else if (it.outcome == store::write_outcome::conflict) {
                   done(error{error_code::conflict, "another operator changed the configuration"});
                 } else if (it.outcome == store::write_outcome::not_executed) {
                   done(error{error_code::unavailable, "the store does not take writes"});
                 } else {
                   done(error{error_code::outcome_unknown, "the store did not answer"});
                 }
               });
  });
}

void configuration_task::issue_key(const std::string& workspace,
                                   std::function<void(const key_result&)> done) {
  const auto issued = std::make_shared<key_result>();
  const std::string secret = secure_random_hex(config::key_secret_bytes);
  edit_head(
      edit_attempts,
      [issued, workspace,
       secret](const config::configuration& head) -> result<config::configuration> {
        auto it = config::issue_key(head, workspace, secret, wall_now());
        if (!it) {
          return it.error();
        }
        issued->key = it.value().key;
        issued->key_id = it.value().key_id;
        it.value().next.proposal_id = secure_random_hex(16);
        return it.value().next;
      },
      [this, issued, done = std::move(done)](const result<std::uint64_t>& it) {
        if (!it) {
          issued->failure = it.error();
        } else {
          issued->revision = it.value();
          events::event entry;
          entry.number = events::event_number::key_issued;
          entry.revision = it.value();
          entry.details["key_id"] = issued->key_id;
          context_.record(std::move(entry));
        }
        done(*issued);
      });
}

void configuration_task::withdraw_key(const std::string& key_id,
                                      std::function<void(const withdrawal_result&)> done) {
  run(spread_.withdraw(key_id, context_.now()));
  open_withdrawals_.push_back({key_id, context_.now() + withdrawal_wait, std::move(done)});
  next_fold_ = context_.now();
  fold_withdrawals();
  check_withdrawals();
}

void configuration_task::fold_withdrawals() {
  const std::string& document = spread_.configuration().current().document;
  std::vector<std::string> listed;
  for (const auto& it : spread_.withdrawn().all()) {
    if (lists_key(document, it.key_id)) {
      listed.push_back(it.key_id);
    }
  }
  // Only watchers fold, so that the store is not asked by every instance; the instance that took
  // the withdrawal folds too, because its operator waits.
  if (listed.empty() || folding_ || (!is_watcher() && open_withdrawals_.empty())) {
    return;
  }
  folding_ = true;
  edit_head(
      edit_attempts,
      [listed](const config::configuration& head) -> result<config::configuration> {
        config::configuration next = head;
        bool changed = false;
        for (const auto& key_id : listed) {
          if (auto it = config::withdraw_key(next, key_id); it) {
            next = std::move(it).value();
            changed = true;
          }
        }
        if (!changed) {
          return error{error_code::not_found, "no listed key is left"};
        }
        next.proposal_id = secure_random_hex(16);
        return next;
      },
      [this](const result<std::uint64_t>& /*it*/) { folding_ = false; });
}

bool configuration_task::is_durably_withdrawn(const std::string& key_id) const {
  // Once the accepted configuration has dropped the key, the set no longer holds the withdrawal.
  return spread_.is_durable(key_id) ||
         !lists_key(spread_.configuration().current().document, key_id);
}

void configuration_task::check_withdrawals() {
  const time_point now = context_.now();
  std::vector<open_withdrawal> finished;
  std::erase_if(open_withdrawals_, [&](open_withdrawal& it) {
    if (!is_durably_withdrawn(it.key_id) && now < it.deadline) {
      return false;
    }
    finished.push_back(std::move(it));
    return true;
  });
  for (const auto& it : finished) {
    it.done({it.key_id, is_durably_withdrawn(it.key_id),
             spread_.withdrawn().holder_count(it.key_id) + 1});
  }
}

void configuration_task::check_state() {
  if (!ready_ && spread_.is_ready()) {
    ready_ = true;
    events::event it;
    it.number = events::event_number::daemon_ready;
    it.revision = revision();
    context_.record(std::move(it));
    became_ready_.emit();
  }
  const bool fresh = spread_.is_fresh(context_.now());
  if (ready_ && fresh != fresh_) {
    fresh_ = fresh;
    events::event it;
    it.number = fresh ? events::event_number::instance_evidence_restored
                      : events::event_number::instance_isolated;
    context_.record(std::move(it));
    freshness_changed_.emit(fresh);
  }
}

} // namespace boragedoor::daemon

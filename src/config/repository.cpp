#include "config/repository.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <thread>
#include <utility>

#include "config/item.hpp"
#include "config/validation.hpp"

namespace dotterelstack::config {

namespace internal {

base::error stale_read() {
    return {base::error_kind::timeout, "stale_read",
            "the store returned an older configuration than before; try again"};
}

bool is_transient(const base::error &ec) {
    return ec.kind == base::error_kind::unavailable || ec.kind == base::error_kind::timeout ||
           ec.kind == base::error_kind::unknown_outcome;
}

/** Commit order of a change: the result stays valid if changes are split, because referenced items exist throughout. */
int commit_order(const item_change &it) {
    const bool basic = it.item.starts_with("organisation/") || it.item.starts_with("service/");
    if (it.after.is_null()) {
        return basic ? 3 : 0;
    }
    return basic ? 1 : 2;
}

/** Reduces the changes to those that fit into one commit. Returns false if some were removed. */
bool limit_to_one_commit(std::vector<item_change> &items) {
    std::stable_sort(items.begin(), items.end(),
                     [](const auto &a, const auto &b) { return commit_order(a) < commit_order(b); });
    std::size_t size = 0;
    for (std::size_t it = 0; it < items.size(); ++it) {
        constexpr std::size_t field_overhead = 64; // field names and punctuation
        size += items[it].item.size() + items[it].before.dump().size() + items[it].after.dump().size() + field_overhead;
        if (size > change_limit && it > 0) {
            items.resize(it);
            return false;
        }
    }
    return true;
}

base::result<state_ptr> apply_and_validate(const state_ptr &before, const change &next) {
    BOOST_OUTCOME_TRY(after, apply_change(before, next));
    settings::problem_list problems{"declarations"};
    validate(after->values(), problems);
    validate_step(before->values(), after->values(), problems);
    if (!problems.empty()) {
        return boost::outcome_v2::failure(problems.to_error("declarations_invalid"));
    }
    return after;
}

} // namespace internal

/** State of one call of `commit`. */
struct repository::attempt {
    std::string id;
    std::string author;
    std::optional<std::uint64_t> unresolved_version; /**< Head version that an unanswered write may have replaced. */
    std::uint64_t unresolved_config_version{0};      /**< Configuration version that this write would create. */
    bool complete{true};
    state_ptr state;
};

repository_options default_repository_options() {
    return {.sleep = [](base::duration it) { std::this_thread::sleep_for(it); },
            .time =
                [] {
                    const std::time_t now = std::time(nullptr);
                    std::tm parts{};
                    std::array<char, 32> buf{};
                    const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", gmtime_r(&now, &parts));
                    return std::string{buf.data(), n};
                }};
}

repository::repository(store::object_store &objects, base::id_source &ids, repository_options options)
    : objects_{objects}, ids_{ids}, options_{std::move(options)} {}

base::result<state_ptr> repository::read() {
    for (int it = 1;; ++it) {
        auto got = read_once();
        if (got) {
            return std::move(got.value().state);
        }
        if (!internal::is_transient(got.error()) || it == options_.attempts) {
            return boost::outcome_v2::failure(std::move(got).error());
        }
        wait(it);
    }
}

base::result<std::vector<change>> repository::history() {
    BOOST_OUTCOME_TRYV(read());
    BOOST_OUTCOME_TRY(got, read_once());
    return std::move(got.value.changes);
}

base::result<repository::read_head> repository::read_once() {
    BOOST_OUTCOME_TRY(object, objects_.get(head_key));
    read_head out;
    out.object_version = object ? object->version : store::absent;
    if (out.object_version < min_version_) {
        return boost::outcome_v2::failure(internal::stale_read());
    }
    if (object) {
        BOOST_OUTCOME_TRY(value, decode_head(object->value));
        out.value = std::move(value);
    }
    BOOST_OUTCOME_TRY(state, load(out.value));
    out.state = state;
    state_ = state;
    min_version_ = out.object_version;
    return out;
}

base::result<state_ptr> repository::load(const head &value) {
    const auto start = state_ ? state_ : std::make_shared<const config_state>();
    auto next = apply_changes(start, value.changes);
    if (next && next.value()->version() == value.version) {
        return next;
    }
    if (!next && next.error().kind != base::error_kind::not_found) {
        return next;
    }
    std::vector<std::string> parts;
    for (std::uint64_t it = 0; it < value.snapshot_parts; ++it) {
        BOOST_OUTCOME_TRY(object, objects_.get(snapshot_key(value.snapshot_version, it)));
        if (!object) {
            // The snapshot was removed after a newer head was written, so this head is stale.
            return boost::outcome_v2::failure(internal::stale_read());
        }
        parts.push_back(std::move(object->value));
    }
    BOOST_OUTCOME_TRY(snapshot, decode_snapshot(parts));
    return apply_changes(snapshot, value.changes);
}

repository::commit_status repository::resolve(attempt &it, const read_head &from) {
    const auto &changes = from.value.changes;
    if (std::any_of(changes.begin(), changes.end(), [&it](const change &value) { return value.id == it.id; })) {
        return commit_status::committed;
    }
    if (!it.unresolved_version || from.object_version == *it.unresolved_version) {
        // The write may still arrive. Writing on the same version again is safe, because only one of both can succeed.
        return commit_status::not_found_yet;
    }
    if (!changes.empty() && changes.front().version > it.unresolved_config_version) {
        return commit_status::unknown;
    }
    it.unresolved_version.reset();
    return commit_status::not_found_yet;
}

base::result<change> repository::prepare(attempt &it, const read_head &from, const change_builder &build) const {
    BOOST_OUTCOME_TRY(items, build(*from.state));
    change next{from.state->version() + 1, it.id, it.author, options_.time(), std::move(items)};
    it.complete = internal::limit_to_one_commit(next.items);
    BOOST_OUTCOME_TRY(after, internal::apply_and_validate(from.state, next));
    it.state = after;
    return next;
}

base::result<commit_result> repository::commit(const std::string &author, const change_builder &build) {
    attempt current{ids_.next(), author, {}, 0, true, {}};
    base::error last{base::error_kind::exhausted, "commit_contended",
                     "every attempt met a concurrent commit; nothing was changed, repeat the command"};
    for (int n = 1; n <= options_.attempts; wait(n++)) {
        auto from = read_once();
        if (!from) {
            if (!internal::is_transient(from.error())) {
                return boost::outcome_v2::failure(std::move(from).error());
            }
            last = std::move(from).error();
            continue;
        }
        const auto known = resolve(current, from.value());
        if (known == commit_status::committed) {
            return commit_result{from.value().state, current.id, current.complete};
        }
        if (known == commit_status::unknown) {
            break;
        }
        auto next = prepare(current, from.value(), build);
        if (!next) {
            return boost::outcome_v2::failure(std::move(next).error());
        }
        if (next.value().items.empty()) {
            return commit_result{from.value().state, {}, true};
        }
        auto text = next_head(from.value(), next.value());
        auto written = text ? objects_.put(head_key, text.value(), from.value().object_version)
                            : base::result<std::uint64_t>{boost::outcome_v2::failure(std::move(text).error())};
        if (written) {
            min_version_ = written.value();
            state_ = current.state;
            return commit_result{current.state, current.id, current.complete};
        }
        last = std::move(written).error();
        if (last.kind == base::error_kind::conflict) {
            // The head has a newer version, so a read that still returns this version is stale.
            min_version_ = std::max(min_version_, from.value().object_version + 1);
        } else if (last.kind == base::error_kind::unknown_outcome) {
            current.unresolved_version = from.value().object_version;
            current.unresolved_config_version = next.value().version;
        } else if (!internal::is_transient(last)) {
            return boost::outcome_v2::failure(std::move(last));
        }
    }
    if (current.unresolved_version) {
        return base::fail(base::error_kind::unknown_outcome, "commit_unknown",
                          "it is unknown whether change " + current.id +
                              " was committed; look for it with `get --history` before repeating the command");
    }
    return boost::outcome_v2::failure(std::move(last));
}

base::result<std::string> repository::next_head(const read_head &from, const change &next) {
    auto value = from.value;
    value.version = next.version;
    value.changes.push_back(next);
    auto text = encode_head(value);
    if (text.size() <= head_limit || from.state->version() == 0) {
        return text;
    }
    return with_snapshot(from, next);
}

base::result<std::string> repository::with_snapshot(const read_head &from, const change &next) {
    const auto version = from.state->version();
    const auto parts = encode_snapshot(*from.state);
    for (std::size_t it = 0; it < parts.size(); ++it) {
        // On a conflict another writer has written the part; equal states give equal parts, so it is usable.
        const auto written = objects_.put(snapshot_key(version, it), parts[it], store::absent);
        if (!written && written.error().kind != base::error_kind::conflict) {
            return base::fail(base::error_kind::unavailable, "snapshot_failed",
                              "a snapshot part could not be written (" + written.error().message + ")");
        }
    }
    head value{next.version, version, parts.size(), {next}};
    std::size_t size = 0;
    for (auto it = from.value.changes.rbegin(); it != from.value.changes.rend(); ++it) {
        size += nlohmann::json(*it).dump().size();
        if (size > retained_limit) {
            break;
        }
        value.changes.insert(value.changes.begin(), *it);
    }
    remove_old_snapshots(from.value.snapshot_version);
    return encode_head(value);
}

void repository::remove_old_snapshots(std::uint64_t oldest_kept) {
    constexpr std::string_view prefix = "config/snapshot/";
    const auto found = objects_.list(prefix);
    if (!found) {
        return; // Retried with the next snapshot.
    }
    for (const auto &it : found.value()) {
        std::uint64_t version = 0;
        const auto *const start = it.key.data() + prefix.size();
        const auto got = std::from_chars(start, it.key.data() + it.key.size(), version);
        if (got.ec == std::errc{} && version < oldest_kept) {
            (void)objects_.erase(it.key, it.version);
        }
    }
}

void repository::wait(int n) const {
    const auto shift = std::min(n - 1, 10);
    options_.sleep(std::min(options_.initial_delay * (1 << shift), options_.max_delay));
}

} // namespace dotterelstack::config

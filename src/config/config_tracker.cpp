#include "config/config_tracker.hpp"

#include <algorithm>
#include <utility>

namespace dotterelstack::config {

namespace internal {

using json = nlohmann::json;

/** Covers peers that are minutes behind at the design rate of 34,000 changes per day. */
constexpr std::size_t max_recent_changes = 256;

/** Decoded response of a peer to `GET /config`. */
struct peer_offer {
    bool known{false}; /**< False if the peer has no configuration yet. */
    std::uint64_t version{0};
    std::string change_id;
    std::optional<std::int64_t> age_ms;
    std::vector<change> changes;
    std::vector<std::string> snapshot;
};

std::optional<peer_offer> decode_offer(std::string_view text) {
    const auto value = json::parse(text, nullptr, false);
    try {
        peer_offer out;
        out.known = !value.at("version").is_null();
        if (!out.known) {
            return out;
        }
        out.version = value.at("version").get<std::uint64_t>();
        out.change_id = value.at("change_id").get<std::string>();
        if (!value.at("age_ms").is_null()) {
            out.age_ms = value.at("age_ms").get<std::int64_t>();
        }
        for (const auto &it : value.at("changes")) {
            auto decoded = decode_change(it);
            if (!decoded) {
                return std::nullopt;
            }
            out.changes.push_back(std::move(decoded.value()));
        }
        for (const auto &it : value.at("snapshot")) {
            out.snapshot.push_back(it.get<std::string>());
        }
        return out;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

tracker_actions ignored(offer_problem problem, std::uint64_t offered, std::string detail) {
    return {offer_ignored{problem, offered, std::move(detail)}};
}

base::result<state_ptr> build(const peer_offer &from, const state_ptr &current) {
    if (!from.snapshot.empty()) {
        BOOST_OUTCOME_TRY(snapshot, decode_snapshot(from.snapshot));
        return apply_changes(snapshot, from.changes);
    }
    return apply_changes(current ? current : std::make_shared<const config_state>(), from.changes);
}

tracker_actions ignored(const base::error &ec, std::uint64_t offered) {
    return ignored(ec.code == "config_diverged" ? offer_problem::diverged : offer_problem::unreadable, offered,
                   ec.message);
}

} // namespace internal

tracker_actions config_tracker::on_head(std::optional<std::string_view> value, base::instant started) {
    if (!value) {
        return offer(std::make_shared<const config_state>(), false, started);
    }
    auto decoded = decode_head(*value);
    if (!decoded) {
        return internal::ignored(decoded.error(), 0);
    }
    return apply_head(decoded.value(), started);
}

tracker_actions config_tracker::apply_head(const head &offered, base::instant started) {
    const auto version = current_ ? current_->version() : 0;
    if (current_ && offered.version < version) {
        return internal::ignored(offer_problem::stale, offered.version, "");
    }
    const auto base = current_ ? current_ : std::make_shared<const config_state>();
    auto next = apply_changes(base, offered.changes);
    if (next && next.value()->version() == offered.version) {
        auto out = offer(next.value(), false, started);
        keep_recent(offered.changes);
        return out;
    }
    if (!next && next.error().kind != base::error_kind::not_found) {
        return internal::ignored(next.error(), offered.version);
    }
    if (pending_ && pending_->value.version >= offered.version) {
        return {};
    }
    pending_ = pending_head{offered, started};
    return {fetch_snapshot{offered.snapshot_version, offered.snapshot_parts}};
}

tracker_actions config_tracker::on_snapshot(std::uint64_t version, const std::vector<std::string> &parts) {
    if (!pending_ || pending_->value.snapshot_version != version) {
        return {};
    }
    const auto waiting = std::move(*pending_);
    pending_.reset();
    const auto snapshot = decode_snapshot(parts);
    if (!snapshot || snapshot.value()->version() != version) {
        return internal::ignored(offer_problem::unreadable, waiting.value.version,
                                 snapshot ? "the snapshot has another version" : snapshot.error().message);
    }
    const auto next = apply_changes(snapshot.value(), waiting.value.changes);
    if (!next) {
        return internal::ignored(next.error(), waiting.value.version);
    }
    auto out = offer(next.value(), false, waiting.started);
    keep_recent(waiting.value.changes);
    return out;
}

tracker_actions config_tracker::on_peer(std::string_view text, base::instant started) {
    const auto decoded = internal::decode_offer(text);
    if (!decoded) {
        return internal::ignored(offer_problem::unreadable, 0, "the peer's configuration is malformed");
    }
    if (!decoded->known) {
        return {};
    }
    if (current_ && decoded->version < current_->version()) {
        return internal::ignored(offer_problem::stale, decoded->version, "");
    }
    const auto next = internal::build(*decoded, current_);
    if (!next) {
        return internal::ignored(next.error(), decoded->version);
    }
    if (next.value()->version() != decoded->version || next.value()->change_id() != decoded->change_id) {
        const bool same = current_ && current_->version() == decoded->version;
        return internal::ignored(same ? offer_problem::diverged : offer_problem::unreadable, decoded->version,
                                 "the peer's changes do not lead to its version");
    }
    std::optional<base::instant> confirmed;
    if (decoded->age_ms) {
        confirmed = started - std::chrono::milliseconds{*decoded->age_ms};
    }
    auto out = offer(next.value(), true, confirmed);
    keep_recent(decoded->changes);
    return out;
}

tracker_actions config_tracker::offer(const state_ptr &candidate, bool from_peer,
                                      std::optional<base::instant> confirmed) {
    if (current_ && candidate->version() < current_->version()) {
        return internal::ignored(offer_problem::stale, candidate->version(), "");
    }
    if (current_ && candidate->version() == current_->version()) {
        if (candidate->change_id() != current_->change_id()) {
            return internal::ignored(offer_problem::diverged, candidate->version(),
                                     "two different configurations have this version");
        }
        confirm(confirmed);
        return {};
    }
    current_ = candidate;
    confirm(confirmed);
    if (pending_ && pending_->value.version <= current_->version()) {
        pending_.reset();
    }
    return {adopted{current_, from_peer}};
}

void config_tracker::confirm(std::optional<base::instant> when) noexcept {
    // The confirmation of an earlier version also bounds the age of a newer one, so the latest instant counts.
    if (when && (!confirmed_ || *when > *confirmed_)) {
        confirmed_ = when;
    }
}

void config_tracker::keep_recent(const std::vector<change> &changes) {
    for (const auto &it : changes) {
        if (it.version > current_->version()) {
            break;
        }
        if (recent_.empty() || it.version == recent_.back().version + 1) {
            recent_.push_back(it);
        } else if (it.version > recent_.back().version) {
            recent_.assign(1, it);
        }
    }
    if (!recent_.empty() && recent_.back().version != current_->version()) {
        recent_.clear();
    }
    while (recent_.size() > internal::max_recent_changes) {
        recent_.pop_front();
    }
}

std::string config_tracker::answer_peer(std::optional<std::uint64_t> since) const {
    nlohmann::json out{{"version", nullptr},
                       {"change_id", nullptr},
                       {"age_ms", nullptr},
                       {"changes", nlohmann::json::array()},
                       {"snapshot", nlohmann::json::array()}};
    if (!current_) {
        return out.dump();
    }
    out["version"] = current_->version();
    out["change_id"] = current_->change_id();
    if (const auto n = age()) {
        // Rounded up, so that the peer never underestimates the age.
        out["age_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*n).count();
    }
    const auto have = since.value_or(0);
    if (have >= current_->version()) {
        return out.dump();
    }
    if (!recent_.empty() && recent_.front().version <= have + 1) {
        for (const auto &it : recent_) {
            if (it.version > have) {
                out["changes"].push_back(it);
            }
        }
    } else {
        out["snapshot"] = encode_snapshot(*current_);
    }
    return out.dump();
}

std::optional<base::duration> config_tracker::age() const noexcept {
    if (!confirmed_) {
        return std::nullopt;
    }
    return clock_.now() - *confirmed_;
}

} // namespace dotterelstack::config

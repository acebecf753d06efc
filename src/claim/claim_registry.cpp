#include "claim/claim_registry.hpp"

#include <algorithm>

#include "store/settled_write.hpp"

namespace dotterelstack::claim {

namespace internal {

base::error bucket_full() {
    return {base::error_kind::exhausted, "claims_full",
            "no room for further idempotency keys; retry after the next usage windows are sealed"};
}

base::error not_claimed(const base::error &cause) {
    return {base::error_kind::unavailable, "claim_not_stored",
            "the request was not run because its idempotency key could not be stored (" + cause.code +
                "); retry with the same key"};
}

} // namespace internal

claim_registry::claim_registry(const base::clock &clock, claim_settings settings, owner_gone has_ended)
    : clock_{clock}, settings_{std::move(settings)}, owner_gone_{std::move(has_ended)} {}

void claim_registry::submit(claim_request request) {
    auto hash = claim_key(request.organisation, request.service, request.key);
    const auto bucket = bucket_of(hash, settings_.buckets);
    work_[bucket].claims.push_back({std::move(request), std::move(hash), clock_.now(), std::nullopt, {}, false});
}

void claim_registry::add_outcome(std::string_view request_id, outcome kind, stored_response answer) {
    const auto it = running_.find(request_id);
    if (it == running_.end()) {
        return;
    }
    if (answer.body.size() > settings_.answer_bytes) {
        answer.body.clear();
        answer.complete = false;
    }
    work_[it->second.first].outcomes.push_back({it->second.second, it->first, kind, std::move(answer), std::nullopt});
    running_.erase(it);
}

void claim_registry::finish(std::string_view request_id, stored_response answer) {
    add_outcome(request_id, outcome::answered, std::move(answer));
}

void claim_registry::finish_unknown(std::string_view request_id) {
    add_outcome(request_id, outcome::unknown, {});
}

void claim_registry::finish_not_run(std::string_view request_id) {
    add_outcome(request_id, outcome::not_run, {});
}

void claim_registry::on_sealed_windows(std::uint64_t count) {
    sealed_ = std::max(sealed_, count);
}

std::optional<std::size_t> claim_registry::next_bucket() {
    std::erase_if(work_, [](const auto &it) { return it.second.claims.empty() && it.second.outcomes.empty(); });
    const auto now = clock_.now();
    if (work_.empty() || now < commit_due_) {
        return std::nullopt;
    }
    commit_due_ = now + settings_.commit_every;
    const auto after = work_.upper_bound(last_bucket_);
    last_bucket_ = after == work_.end() ? work_.begin()->first : after->first;
    return last_bucket_;
}

base::instant claim_registry::next_due() const {
    return work_.empty() ? base::instant::max() : commit_due_;
}

void claim_registry::remove_expired(draft &it) const {
    it.bucket.sealed = std::max(it.bucket.sealed, sealed_);
    std::erase_if(it.bucket.claims,
                  [&](const auto &entry) { return it.bucket.sealed >= entry.second.window + settings_.keep_windows; });
}

void claim_registry::apply(draft &it, const pending_outcome &update) const {
    const auto found = it.bucket.claims.find(update.key_hash);
    const bool ours = found != it.bucket.claims.end() && found->second.request == update.request_id;
    if (!ours) {
        // A delayed copy of the claim's write can only take effect while the bucket has the version that it expects.
        // Writing the bucket once more prevents that.
        it.changed = it.changed || (update.attempted && it.version <= *update.attempted);
        return;
    }
    auto &entry = found->second;
    if (update.kind == outcome::not_run) {
        it.bucket.claims.erase(found);
        it.changed = true;
        return;
    }
    const auto state = update.kind == outcome::answered ? claim_state::answered : claim_state::unknown;
    if (entry.state == state) {
        return;
    }
    const auto before = stored_bytes(entry);
    entry.state = state;
    entry.answer = update.answer;
    if (it.bytes - before + stored_bytes(entry) > settings_.bucket_bytes && state == claim_state::answered) {
        entry.answer.body.clear();
        entry.answer.complete = false;
    }
    it.bytes += stored_bytes(entry) - before;
    it.changed = true;
}

bool claim_registry::is_unknown(const claim_entry &entry, std::uint64_t sealed) const {
    if (entry.state != claim_state::claimed) {
        return entry.state == claim_state::unknown;
    }
    const bool overdue = sealed >= entry.window + settings_.unknown_after_windows;
    return overdue || (entry.owner != settings_.owner && owner_gone_ && owner_gone_(entry.owner));
}

std::optional<claim_decision> claim_registry::evaluate(draft &it, pending_claim &claim) {
    claim_decision out{claim.request.request_id, claim_verdict::refused, {}, {}, {}};
    const auto found = it.bucket.claims.find(claim.key_hash);
    if (found == it.bucket.claims.end()) {
        const claim_entry entry{claim_state::claimed,    settings_.owner,  claim.request.request_id,
                                claim.request.body_hash, it.bucket.sealed, {}};
        const auto bytes = stored_bytes(entry);
        if (it.bytes + bytes > settings_.bucket_bytes) {
            out.reason = internal::bucket_full();
            return out;
        }
        it.bytes += bytes;
        it.bucket.claims.emplace(claim.key_hash, entry);
        it.changed = true;
        claim.committing = true;
        return std::nullopt;
    }
    auto &entry = found->second;
    if (entry.request == claim.request.request_id) {
        // The claim of this request, from an earlier write with an unknown outcome.
        claim.committing = true;
        return std::nullopt;
    }
    if (entry.body_hash != claim.request.body_hash) {
        out.verdict = claim_verdict::key_reused;
    } else if (entry.state == claim_state::answered) {
        out.verdict = claim_verdict::replay;
        out.answer = entry.answer;
    } else if (is_unknown(entry, it.bucket.sealed)) {
        out.verdict = claim_verdict::unknown;
    } else {
        out.verdict = claim_verdict::in_progress;
    }
    return out;
}

std::optional<claim_write> claim_registry::on_read(std::size_t bucket,
                                                   const base::result<std::optional<store::object>> &found) {
    if (!found) {
        refuse_pending(bucket, found.error(), false);
        return std::nullopt;
    }
    const auto &item = found.value();
    const auto version = item ? item->version : store::absent;
    auto &highest = versions_[bucket];
    if (version < highest) {
        refuse_pending(
            bucket, {base::error_kind::unavailable, "stale_read", "the store returned an older version; retry"}, true);
        return std::nullopt;
    }
    highest = version;
    auto parsed = parse_bucket(item);
    if (!parsed) {
        refuse_pending(bucket, parsed.error(), false);
        return std::nullopt;
    }
    return prepare(bucket, {std::move(parsed.value()), version, 0, false});
}

std::optional<claim_write> claim_registry::prepare(std::size_t bucket, draft it) {
    auto &work = work_[bucket];
    remove_expired(it);
    it.bytes = to_json(it.bucket).dump().size();
    for (const auto &update : work.outcomes) {
        apply(it, update);
    }
    work.outcomes_written = work.outcomes.size();
    const auto now = clock_.now();
    std::erase_if(work.claims, [&](pending_claim &claim) {
        claim.committing = false;
        auto decision = evaluate(it, claim);
        if (decision) {
            decisions_.push_back(std::move(*decision));
            return true;
        }
        claim.sent = now;
        return false;
    });
    if (!it.changed) {
        on_written(bucket, it.version);
        return std::nullopt;
    }
    for (auto &claim : work.claims) {
        claim.attempted = it.version;
    }
    return claim_write{bucket_key(bucket), to_json(it.bucket), it.version};
}

void claim_registry::run(const pending_claim &claim, std::size_t bucket) {
    running_[claim.request.request_id] = {bucket, claim.key_hash};
    decisions_.push_back(
        {claim.request.request_id, claim_verdict::run, {}, claim.sent + settings_.dispatch_timeout, {}});
}

void claim_registry::on_written(std::size_t bucket, const base::result<std::uint64_t> &written) {
    auto &work = work_[bucket];
    if (!written) {
        const auto kind = written.error().kind;
        const bool outcome_open = kind == base::error_kind::conflict || kind == base::error_kind::unknown_outcome;
        refuse_pending(bucket, written.error(), outcome_open);
        return;
    }
    versions_[bucket] = std::max(versions_[bucket], written.value());
    const auto done = static_cast<std::ptrdiff_t>(work.outcomes_written);
    work.outcomes.erase(work.outcomes.begin(), work.outcomes.begin() + done);
    work.outcomes_written = 0;
    std::erase_if(work.claims, [&](const pending_claim &claim) {
        if (claim.committing) {
            run(claim, bucket);
        }
        return claim.committing;
    });
}

void claim_registry::refuse_pending(std::size_t bucket, const base::error &reason, bool only_overdue) {
    auto &work = work_[bucket];
    const auto now = clock_.now();
    work.outcomes_written = 0;
    std::erase_if(work.claims, [&](pending_claim &claim) {
        claim.committing = false;
        if (only_overdue && now - claim.since < settings_.claim_timeout) {
            return false;
        }
        if (claim.attempted) {
            work.outcomes.push_back({claim.key_hash, claim.request.request_id, outcome::not_run, {}, claim.attempted});
        }
        decisions_.push_back({claim.request.request_id, claim_verdict::refused, {}, {}, internal::not_claimed(reason)});
        return true;
    });
}

std::vector<claim_decision> claim_registry::take_decisions() {
    return std::exchange(decisions_, {});
}

bool drive_claims(claim_registry &registry, store::object_store &store, base::id_source &ids) {
    const auto bucket = registry.next_bucket();
    if (!bucket) {
        return false;
    }
    const auto write = registry.on_read(*bucket, store.get(bucket_key(*bucket)));
    if (write) {
        registry.on_written(*bucket, store::settled_write(store, ids, write->key, write->value, write->expected));
    }
    return true;
}

} // namespace dotterelstack::claim

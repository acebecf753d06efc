#include "usage/usage_recorder.hpp"

#include <algorithm>

namespace dotterelstack::usage {

usage_recorder::usage_recorder(const base::clock &clock, recorder_settings settings)
    : clock_{clock}, settings_{std::move(settings)}, flush_due_{clock.now() + settings_.flush_every} {}

void usage_recorder::on_open_window(std::uint64_t window) noexcept {
    window_ = std::max(window_, window);
}

usage_record usage_recorder::record(std::string request, std::string organisation, std::string service,
                                    std::uint64_t prompt_tokens, std::uint64_t generated_tokens) {
    usage_record out{std::move(request), std::move(organisation), std::move(service), prompt_tokens,
                     generated_tokens,   settings_.owner,         ++last_sequence_,   window_};
    records_[out.sequence] = {out, {}};
    return out;
}

bool usage_recorder::on_held(std::uint64_t sequence, const std::string &peer) {
    const auto it = records_.find(sequence);
    if (it != records_.end()) {
        it->second.peer = peer;
    }
    // A record that has been flushed in the meantime is safe as well.
    return sequence <= last_sequence_;
}

std::vector<usage_record> usage_recorder::on_peer_gone(std::string_view peer) {
    std::vector<usage_record> out;
    for (auto &[sequence, it] : records_) {
        if (it.peer == peer) {
            it.peer.clear();
            out.push_back(it.item);
        }
    }
    return out;
}

std::vector<usage_record> usage_recorder::not_held() const {
    std::vector<usage_record> out;
    for (const auto &[sequence, it] : records_) {
        if (it.peer.empty()) {
            out.push_back(it.item);
        }
    }
    return out;
}

std::set<std::string, std::less<>> usage_recorder::peers() const {
    std::set<std::string, std::less<>> out;
    for (const auto &[sequence, it] : records_) {
        if (!it.peer.empty()) {
            out.insert(it.peer);
        }
    }
    return out;
}

void usage_recorder::flush_now() noexcept {
    flush_due_ = clock_.now();
}

std::optional<usage_batch> usage_recorder::next_batch() {
    const auto now = clock_.now();
    if (records_.empty() || now < flush_due_) {
        return std::nullopt;
    }
    if (flush_end_ == 0) {
        flush_end_ = last_sequence_;
    }
    if (!pending_batch_) {
        usage_batch batch{settings_.owner, records_.begin()->second.item.window, {}};
        for (const auto &[sequence, it] : records_) {
            if (it.item.window != batch.window || batch.records.size() == settings_.batch_records) {
                break;
            }
            batch.records.push_back(it.item);
        }
        pending_batch_ = std::move(batch);
    }
    return pending_batch_;
}

std::vector<hold_release> usage_recorder::on_flushed(const usage_batch &batch, const base::result<void> &stored) {
    if (!stored) {
        flush_due_ = clock_.now() + settings_.retry_after;
        return {};
    }
    std::map<std::string, std::vector<std::uint64_t>> peers;
    for (const auto &record : batch.records) {
        const auto it = records_.find(record.sequence);
        if (it != records_.end()) {
            if (!it->second.peer.empty()) {
                peers[it->second.peer].push_back(record.sequence);
            }
            records_.erase(it);
        }
    }
    pending_batch_.reset();
    if (records_.empty() || records_.begin()->first > flush_end_) {
        flush_end_ = 0;
        flush_due_ = clock_.now() + settings_.flush_every;
    }
    std::vector<hold_release> out;
    out.reserve(peers.size());
    for (auto &[peer, sequences] : peers) {
        out.push_back({peer, settings_.owner, std::move(sequences)});
    }
    return out;
}

} // namespace dotterelstack::usage

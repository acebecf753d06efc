#include "usage/usage_replica_buffer.hpp"

namespace dotterelstack::usage {

usage_replica_buffer::usage_replica_buffer(std::size_t batch_records) : batch_records_{batch_records} {}

void usage_replica_buffer::hold(const std::vector<usage_record> &records) {
    for (const auto &it : records) {
        records_[it.owner].emplace(it.sequence, it);
    }
}

void usage_replica_buffer::release(std::string_view owner, const std::vector<std::uint64_t> &sequences) {
    const auto it = records_.find(owner);
    if (it == records_.end()) {
        return;
    }
    for (const auto sequence : sequences) {
        it->second.erase(sequence);
    }
    if (it->second.empty()) {
        records_.erase(it);
    }
}

void usage_replica_buffer::on_owner_gone(const std::string &owner) {
    failed_owners_.insert(owner);
}

std::optional<usage_batch> usage_replica_buffer::next_batch() {
    for (auto it = failed_owners_.begin(); it != failed_owners_.end();) {
        const auto found = records_.find(*it);
        if (found == records_.end()) {
            it = failed_owners_.erase(it);
            continue;
        }
        usage_batch out{*it, found->second.begin()->second.window, {}};
        for (const auto &[sequence, record] : found->second) {
            if (record.window == out.window && out.records.size() < batch_records_) {
                out.records.push_back(record);
            }
        }
        return out;
    }
    return std::nullopt;
}

void usage_replica_buffer::on_flushed(const usage_batch &batch, const base::result<void> &stored) {
    if (!stored) {
        return;
    }
    std::vector<std::uint64_t> sequences;
    for (const auto &it : batch.records) {
        sequences.push_back(it.sequence);
    }
    release(batch.owner, sequences);
}

std::set<std::string, std::less<>> usage_replica_buffer::owners() const {
    std::set<std::string, std::less<>> out;
    for (const auto &[owner, records] : records_) {
        out.insert(owner);
    }
    return out;
}

std::size_t usage_replica_buffer::held() const noexcept {
    std::size_t out = 0;
    for (const auto &[owner, records] : records_) {
        out += records.size();
    }
    return out;
}

} // namespace dotterelstack::usage

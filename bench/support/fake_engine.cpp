#include "bench/support/fake_engine.hpp"

#include <algorithm>
#include <utility>

namespace dotterelstack::bench {

std::uint32_t fake_engine::blocks_of(const engine_job &job) const noexcept {
    return (job.prompt + job.output + rates_.block_tokens - 1) / rates_.block_tokens;
}

std::uint32_t fake_engine::hit_tokens(std::span<const std::uint64_t> blocks) {
    std::uint32_t n = 0;
    for (const auto block : blocks) {
        const auto it = cached_.find(block);
        if (it == cached_.end()) {
            break;
        }
        lru_.splice(lru_.begin(), lru_, it->second);
        n += rates_.block_tokens;
    }
    return n;
}

void fake_engine::admit() {
    while (!queue_.empty() && running_.size() < rates_.batch_limit &&
           used_blocks_ + blocks_of(queue_.front()) <= rates_.total_blocks) {
        auto job = queue_.front();
        queue_.pop_front();
        used_blocks_ += blocks_of(job);
        const auto hit = job.state_moved ? job.prompt : hit_tokens(job.blocks);
        // The last token of a prompt is always computed, as it yields the first token of the response.
        job.prefill_left = job.state_moved ? 0 : std::max(1U, job.prompt > hit ? job.prompt - hit : 0);
        running_.push_back(job);
    }
}

base::duration fake_engine::begin_step(backend_role role) {
    admit();
    planned_.assign(running_.size(), 0);
    if (running_.empty()) {
        return base::duration{0};
    }
    auto budget = rates_.chunk[static_cast<std::size_t>(role)];
    double seconds = rates_.step_seconds;
    for (std::size_t it = 0; it < running_.size(); ++it) {
        if (running_[it].prefill_left == 0) {
            seconds += rates_.decode_seconds;
            continue;
        }
        planned_[it] = std::min(budget, running_[it].prefill_left);
        budget -= planned_[it];
        seconds += planned_[it] / rates_.prefill_tokens_per_second;
    }
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

std::vector<engine_event> fake_engine::end_step() {
    std::vector<engine_event> out;
    // Jobs admitted after the step began are not in `planned_`.
    for (std::size_t it = 0; it < planned_.size(); ++it) {
        auto &job = running_[it];
        if (job.prefill_left != 0) {
            job.prefill_left -= planned_[it];
            if (job.prefill_left != 0) {
                continue;
            }
            remember(job.blocks);
        }
        ++job.produced;
        out.push_back({job.id, job.produced >= job.output});
    }
    planned_.clear();
    std::erase_if(running_, [this](const engine_job &job) {
        const bool ended = job.produced >= job.output;
        used_blocks_ -= ended ? blocks_of(job) : 0;
        return ended;
    });
    return out;
}

void fake_engine::remember(std::span<const std::uint64_t> blocks) {
    for (const auto block : blocks) {
        if (cached_.contains(block)) {
            continue;
        }
        lru_.push_front(block);
        cached_[block] = lru_.begin();
        changes_.push_back({block, true});
        if (lru_.size() > rates_.cached_blocks) {
            changes_.push_back({lru_.back(), false});
            cached_.erase(lru_.back());
            lru_.pop_back();
        }
    }
}

std::vector<std::uint64_t> fake_engine::crash() {
    std::vector<std::uint64_t> lost;
    for (const auto &job : running_) {
        lost.push_back(job.id);
    }
    for (const auto &job : queue_) {
        lost.push_back(job.id);
    }
    *this = fake_engine{rates_};
    return lost;
}

routing::load_report fake_engine::report() const {
    return {.running = static_cast<std::uint32_t>(running_.size()),
            .queued = static_cast<std::uint32_t>(queue_.size()),
            .free_blocks = rates_.total_blocks - used_blocks_};
}

} // namespace dotterelstack::bench

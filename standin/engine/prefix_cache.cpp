#include "standin/engine/prefix_cache.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "base/id.hpp"

namespace dotterelstack::standin {

std::vector<std::string> prefix_cache::prefixes(std::string_view model,
                                                const std::vector<std::string_view> &words) const {
    std::vector<std::string> out;
    std::string last{model};
    for (std::size_t begin = 0; begin + block_tokens_ <= words.size(); begin += block_tokens_) {
        std::string text = last + "\n";
        for (std::size_t it = begin; it < begin + block_tokens_; ++it) {
            text.append(it == begin ? "" : " ").append(words[it]);
        }
        last = base::sha256_hex(text);
        out.push_back(last);
    }
    return out;
}

std::size_t prefix_cache::match(const std::vector<std::string> &ids) {
    std::size_t out = 0;
    // The whole prefix gets one use number, and the longest part is evicted first: a block without its
    // predecessors is of no use.
    ++uses_;
    while (out < ids.size()) {
        const auto it = blocks_.find(ids[out]);
        if (it == blocks_.end()) {
            break;
        }
        it->second.last_use = uses_;
        ++out;
    }
    return out;
}

void prefix_cache::store(std::string_view model, const std::vector<std::string> &ids) {
    ++uses_;
    for (std::size_t it = 0; it < ids.size(); ++it) {
        auto [place, added] = blocks_.try_emplace(ids[it], cache_block{std::string{model}, (it + 1) * block_tokens_});
        place->second.last_use = uses_;
        if (added) {
            events_.push_back({++seq_, true, ids[it], place->second.model, place->second.tokens});
        }
    }
}

void prefix_cache::pin(const std::vector<std::string> &ids, std::size_t count) {
    for (std::size_t it = 0; it < count; ++it) {
        pinned_ += ++blocks_.at(ids[it]).pins == 1 ? 1U : 0U;
    }
}

void prefix_cache::unpin(const std::vector<std::string> &ids, std::size_t count) {
    for (std::size_t it = 0; it < count; ++it) {
        pinned_ -= --blocks_.at(ids[it]).pins == 0 ? 1U : 0U;
    }
}

void prefix_cache::import_block(const std::string &id, std::string_view model, std::size_t tokens, std::size_t limit) {
    const bool added = blocks_.try_emplace(id, cache_block{std::string{model}, tokens}).second;
    blocks_.at(id).last_use = ++uses_;
    if (added) {
        events_.push_back({++seq_, true, id, std::string{model}, tokens});
    }
    shrink(limit);
}

void prefix_cache::shrink(std::size_t limit) {
    // Among blocks of the same use the longest prefix goes first.
    const auto rank = [](const auto &it) {
        return std::tuple{it.second.pins > 0, it.second.last_use,
                          std::numeric_limits<std::size_t>::max() - it.second.tokens};
    };
    while (blocks_.size() > std::max(limit, pinned_)) {
        const auto oldest = std::ranges::min_element(blocks_, {}, rank);
        events_.push_back({++seq_, false, oldest->first, oldest->second.model, oldest->second.tokens});
        blocks_.erase(oldest);
    }
}

const cache_block *prefix_cache::find(const std::string &id) const {
    const auto it = blocks_.find(id);
    return it == blocks_.end() ? nullptr : &it->second;
}

std::vector<cache_event> prefix_cache::take_events() {
    return std::exchange(events_, {});
}

} // namespace dotterelstack::standin

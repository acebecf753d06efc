#include "routing/prefix_index.hpp"

#include <algorithm>
#include <bit>

namespace dotterelstack::routing {

namespace internal {

// Block hashes come from outside and may be sequential; this mixing step of splitmix64 spreads them over the sets.
std::uint64_t mix(std::uint64_t block) noexcept {
    block ^= block >> 30U;
    block *= 0xbf58476d1ce4e5b9ULL;
    return block ^ (block >> 27U);
}

void record_match(prefix_index::matches &out, std::size_t &n, prefix_match found) noexcept {
    const auto last = out.begin() + static_cast<std::ptrdiff_t>(n);
    const auto same = std::find_if(out.begin(), last, [&](const auto &it) { return it.backend == found.backend; });
    if (same != last) {
        same->blocks = found.blocks;
    } else if (n < out.size()) {
        out[n++] = found;
    } else {
        const auto shortest =
            std::min_element(out.begin(), out.end(), [](const auto &a, const auto &b) { return a.blocks < b.blocks; });
        if (shortest->blocks < found.blocks) {
            *shortest = found;
        }
    }
}

} // namespace internal

prefix_index::prefix_index(std::size_t capacity)
    : entries_(std::bit_ceil(std::max(capacity, ways))), set_mask_{entries_.size() / ways - 1} {}

std::span<prefix_index::entry> prefix_index::set_of(std::uint64_t block) noexcept {
    const auto first = static_cast<std::size_t>(internal::mix(block) & set_mask_) * ways;
    return std::span{entries_}.subspan(first, ways);
}

prefix_index::entry *prefix_index::lookup(std::uint64_t block) noexcept {
    for (auto &it : set_of(block)) {
        if (it.block == block && it.used != 0) {
            return &it;
        }
    }
    return nullptr;
}

bool prefix_index::valid(const holder &it) const noexcept {
    return it.epoch != 0 && it.backend < sources_.size() && sources_[it.backend].epoch == it.epoch;
}

prefix_index::source &prefix_index::event_source_of(std::uint16_t backend) {
    if (backend >= sources_.size()) {
        sources_.resize(std::size_t{backend} + 1);
    }
    return sources_[backend];
}

void prefix_index::advance_epoch(source &it) noexcept {
    it.epoch = it.epoch == UINT16_MAX ? std::uint16_t{1} : static_cast<std::uint16_t>(it.epoch + 1);
}

void prefix_index::add_one(std::uint16_t backend, std::uint16_t epoch, std::uint64_t block) noexcept {
    auto *it = lookup(block);
    if (it == nullptr) {
        const auto set = set_of(block);
        it = &*std::min_element(set.begin(), set.end(), [](const auto &a, const auto &b) { return a.used < b.used; });
        *it = entry{.block = block};
    }
    it->used = ++tick_;
    auto free_holder = std::find_if(it->holders.begin(), it->holders.end(),
                                    [&](const auto &h) { return h.backend == backend && h.epoch != 0; });
    if (free_holder == it->holders.end()) {
        free_holder = std::find_if(it->holders.begin(), it->holders.end(), [&](const auto &h) { return !valid(h); });
    }
    if (free_holder == it->holders.end()) {
        // The list of holders is full: replace the oldest one, which is at the front.
        std::rotate(it->holders.begin(), it->holders.begin() + 1, it->holders.end());
        free_holder = it->holders.end() - 1;
    }
    *free_holder = holder{backend, epoch};
}

void prefix_index::add(std::uint16_t backend, std::span<const std::uint64_t> blocks) {
    const auto epoch = event_source_of(backend).epoch;
    for (const auto block : blocks) {
        add_one(backend, epoch, block);
    }
}

void prefix_index::remove(std::uint16_t backend, std::uint64_t block) noexcept {
    if (auto *it = lookup(block); it != nullptr) {
        for (auto &h : it->holders) {
            if (h.backend == backend) {
                h = holder{};
            }
        }
    }
}

void prefix_index::forget(std::uint16_t backend) {
    auto &from = event_source_of(backend);
    advance_epoch(from);
    from.seq = 0;
    from.seen = false;
}

bool prefix_index::apply(std::uint16_t backend, const cache_event &event) {
    auto &from = event_source_of(backend);
    if (from.seen && event.seq <= from.seq) {
        return false;
    }
    const bool gap = from.seen && event.seq != from.seq + 1;
    if (gap || event.what == cache_event::kind::cleared) {
        advance_epoch(from);
    }
    from.seq = event.seq;
    from.seen = true;
    if (event.what == cache_event::kind::stored) {
        add(backend, event.blocks);
    } else if (event.what == cache_event::kind::evicted) {
        for (const auto block : event.blocks) {
            remove(backend, block);
        }
    }
    return true;
}

std::size_t prefix_index::find(std::span<const std::uint64_t> blocks, matches &out) noexcept {
    std::size_t n = 0;
    std::uint16_t depth = 0;
    for (const auto block : blocks) {
        auto *it = lookup(block);
        if (it == nullptr || depth == UINT16_MAX) {
            break;
        }
        ++depth;
        bool held = false;
        for (const auto &h : it->holders) {
            if (valid(h)) {
                held = true;
                internal::record_match(out, n, prefix_match{h.backend, depth});
            }
        }
        if (!held) {
            break;
        }
        it->used = ++tick_;
    }
    return n;
}

std::size_t prefix_index::size() const noexcept {
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [this](const auto &it) {
        return it.used != 0 &&
               std::any_of(it.holders.begin(), it.holders.end(), [this](const auto &h) { return valid(h); });
    }));
}

std::size_t prefix_index::memory_bytes() const noexcept {
    return entries_.capacity() * sizeof(entry) + sources_.capacity() * sizeof(source);
}

} // namespace dotterelstack::routing

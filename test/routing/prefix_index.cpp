#include "routing/prefix_index.hpp"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace dotterelstack::routing;

namespace {

std::uint16_t depth_of(prefix_index &index, std::uint16_t backend, std::span<const std::uint64_t> blocks) {
    prefix_index::matches out{};
    const auto n = index.find(blocks, out);
    for (std::size_t it = 0; it < n; ++it) {
        if (out[it].backend == backend) {
            return out[it].blocks;
        }
    }
    return 0;
}

/** Reference implementation with unbounded memory: the blocks held by each backend server. */
struct reference_index {
    std::map<std::uint16_t, std::set<std::uint64_t>> held;
    std::map<std::uint16_t, std::uint64_t> seq;

    void apply(std::uint16_t backend, const cache_event &event) {
        const auto known = seq.find(backend);
        if (known != seq.end() && event.seq <= known->second) {
            return;
        }
        if ((known != seq.end() && event.seq != known->second + 1) || event.what == cache_event::kind::cleared) {
            held[backend].clear();
        }
        seq[backend] = event.seq;
        for (const auto block : event.blocks) {
            if (event.what == cache_event::kind::stored) {
                held[backend].insert(block);
            } else {
                held[backend].erase(block);
            }
        }
    }

    [[nodiscard]] std::uint16_t depth(std::uint16_t backend, std::span<const std::uint64_t> blocks) const {
        std::uint16_t deepest = 0;
        for (std::size_t it = 0; it < blocks.size(); ++it) {
            bool any = false;
            for (const auto &[name, set] : held) {
                any = any || set.contains(blocks[it]);
            }
            if (!any) {
                break;
            }
            if (const auto own = held.find(backend); own != held.end() && own->second.contains(blocks[it])) {
                deepest = static_cast<std::uint16_t>(it + 1);
            }
        }
        return deepest;
    }
};

} // namespace

// Guards against hints that do not match the received events, including lost, repeated and late ones, while everything
// fits into the table.
TEST_CASE("the index agrees with a reference implementation under lost and repeated events") {
    CHECK(rc::check("index differential", [] {
        prefix_index index{1024};
        reference_index reference;
        std::map<std::uint16_t, std::uint64_t> next;
        const auto n = *rc::gen::inRange(1, 120);
        for (int it = 0; it < n; ++it) {
            const auto backend = static_cast<std::uint16_t>(*rc::gen::inRange(0, 4));
            auto &seq = next[backend];
            const auto step = *rc::gen::weightedElement<int>({{8, 1}, {1, 2}, {1, 0}});
            seq += static_cast<std::uint64_t>(step);
            const auto blocks =
                *rc::gen::container<std::vector<std::uint64_t>>(3, rc::gen::inRange<std::uint64_t>(1, 9));
            const auto what = *rc::gen::weightedElement<cache_event::kind>(
                {{6, cache_event::kind::stored}, {3, cache_event::kind::evicted}, {1, cache_event::kind::cleared}});
            const cache_event event{
                seq, what, what == cache_event::kind::cleared ? std::span<const std::uint64_t>{} : std::span{blocks}};
            index.apply(backend, event);
            reference.apply(backend, event);
            const auto prompt =
                *rc::gen::container<std::vector<std::uint64_t>>(4, rc::gen::inRange<std::uint64_t>(1, 9));
            for (std::uint16_t who = 0; who < 4; ++who) {
                RC_ASSERT(depth_of(index, who, prompt) == reference.depth(who, prompt));
            }
        }
    }));
}

// Guards against an index that grows with traffic, and against one that evicts blocks in use.
TEST_CASE("memory stays bounded and recently used blocks survive") {
    prefix_index index{256};
    const auto before = index.memory_bytes();
    const std::vector<std::uint64_t> kept{7};
    index.add(0, kept);
    for (std::uint64_t block = 100; block < 20'100; ++block) {
        index.add(0, std::span{&block, 1});
        REQUIRE(depth_of(index, 0, kept) == 1);
    }
    CHECK(index.memory_bytes() <= before + 64);
    CHECK(index.size() <= 256);
}

// Guards against stale hints for a backend server that reuses the number of a removed one.
TEST_CASE("forget removes all blocks and the event number") {
    prefix_index index{64};
    const std::vector<std::uint64_t> blocks{1, 2};
    CHECK(index.apply(3, {9, cache_event::kind::stored, blocks}));
    CHECK(depth_of(index, 3, blocks) == 2);
    index.forget(3);
    CHECK(depth_of(index, 3, blocks) == 0);
    CHECK(index.apply(3, {1, cache_event::kind::stored, blocks}));
    CHECK(depth_of(index, 3, blocks) == 2);
}

// Guards against a popular prefix whose newest holders are never recorded because its list of holders is full.
TEST_CASE("a new holder replaces the oldest one") {
    prefix_index index{64};
    const std::vector<std::uint64_t> block{5};
    for (std::uint16_t backend = 0; backend <= prefix_index::holders_per_block; ++backend) {
        index.add(backend, block);
    }
    CHECK(depth_of(index, 0, block) == 0);
    CHECK(depth_of(index, prefix_index::holders_per_block, block) == 1);
}

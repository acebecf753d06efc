#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>

#include "store/memory_store.hpp"
#include "usage/usage_recorder.hpp"
#include "usage/usage_replica_buffer.hpp"
#include "usage/usage_sealer.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t entry_count = 3;

struct entry_process {
    std::string owner;
    usage::usage_recorder recorder;
    usage::usage_replica_buffer holder;

    entry_process(const base::clock &clock, const std::string &name)
        : owner{name}, recorder{clock, {.owner = name, .batch_records = 3}}, holder{2} {}
};

// Simulates three entries that replicate their records to each other, two holders of the billing lease and a store with
// faults. Each request has its own organisation, so that the sum over all windows shows how often it was billed.
struct simulation {
    base::manual_clock clock;
    store::memory_store store;
    base::id_source ids{13};
    std::vector<std::unique_ptr<entry_process>> entries;
    std::vector<std::string> gone;
    usage::usage_sealer sealers[2]{{clock, {.keep_windows = 1000}}, {clock, {.keep_windows = 1000}}};
    // Sealing must be correct without mutual exclusion by the lease, so both holders always believe that they
    // hold it.
    std::shared_ptr<lease::internal::authority_state> state{std::make_shared<lease::internal::authority_state>()};
    std::optional<lease::authority_check> always_valid{lease::authority_check{state, clock, 0}};
    std::map<std::string, std::uint64_t> served;
    int started{0};
    int requests{0};

    simulation() {
        state->valid_until = base::duration::max().count();
        for (std::size_t it = 0; it < entry_count; ++it) {
            entries.push_back(start());
        }
    }

    std::unique_ptr<entry_process> start() {
        return std::make_unique<entry_process>(clock, "owner" + std::to_string(started++));
    }

    // Records without a confirmed copy are replicated again, so that the failure of one process loses nothing.
    void hold_all(std::size_t n) {
        auto &peer = *entries[(n + 1) % entry_count];
        for (const auto &it : entries[n]->recorder.not_held()) {
            peer.holder.hold({it});
            CHECK(entries[n]->recorder.on_held(it.sequence, peer.owner));
        }
    }

    void serve(std::size_t n, std::uint64_t tokens) {
        const std::string organisation = "o" + std::to_string(requests++);
        (void)entries[n]->recorder.record(organisation, organisation, "drafting", tokens, tokens + 1);
        hold_all(n);
        served[organisation] = tokens;
    }

    void flush(std::size_t n) {
        auto &it = *entries[n];
        it.recorder.flush_now();
        if (const auto batch = it.recorder.next_batch()) {
            for (const auto &release : it.recorder.on_flushed(*batch, usage::store_batch(store, ids, *batch))) {
                for (auto &peer : entries) {
                    if (peer->owner == release.peer) {
                        peer->holder.release(release.owner, release.sequences);
                    }
                }
            }
        }
    }

    void flush_held(std::size_t n) {
        if (const auto batch = entries[n]->holder.next_batch()) {
            entries[n]->holder.on_flushed(*batch, usage::store_batch(store, ids, *batch));
        }
    }

    void kill(std::size_t n) {
        const auto owner = entries[n]->owner;
        entries[n] = start();
        for (std::size_t it = 0; it < entry_count; ++it) {
            entries[it]->holder.on_owner_gone(owner);
            (void)entries[it]->recorder.on_peer_gone(owner);
            if (it != n) {
                hold_all(it);
            }
        }
        // All copies are flushed, because the next process to be killed may hold the only copy of a record of this one.
        for (int rounds = 0; rounds < 200; ++rounds) {
            for (std::size_t it = 0; it < entry_count; ++it) {
                flush_held(it);
            }
        }
    }

    // False failure detection: the owner is only slow, so the owner and its peer both store its records.
    void suspect_falsely(std::size_t n) {
        for (auto &it : entries) {
            it->holder.on_owner_gone(entries[n]->owner);
        }
    }

    void step(usage::usage_sealer &it, int rounds) {
        for (int n = 0; n < rounds; ++n) {
            usage::drive_sealer(it, store, ids, always_valid);
        }
    }

    void update_open_window() {
        const auto found = store.get(usage::open_window_key);
        if (found && found.value()) {
            for (auto &it : entries) {
                it->recorder.on_open_window(usage::parse_open(*found.value()).value().window);
            }
        }
    }

    // The first lease holder is paused between aggregating and writing a window, while the second one continues.
    void pause_first_sealer() {
        store.set_write_hook([this](std::string_view key) {
            if (key.starts_with("usage/sealed/")) {
                store.set_write_hook({});
                flush(0);
                step(sealers[1], 40);
            }
        });
        step(sealers[0], 10);
        store.set_write_hook({});
    }

    void apply(unsigned op, unsigned argument) {
        const std::size_t n = argument % entry_count;
        switch (op % 16) {
        case 0:
            flush(n);
            break;
        case 1:
            flush_held(n);
            break;
        case 2:
            kill(n);
            break;
        case 3:
            suspect_falsely(n);
            break;
        case 4:
            clock.advance(std::chrono::seconds{argument % 90});
            break;
        case 5:
            step(sealers[argument % 2], 10);
            break;
        case 6:
            update_open_window();
            break;
        case 7:
            pause_first_sealer();
            break;
        case 8:
            store.set_faults_once({.lose_answers = true}, argument % 5);
            break;
        case 9:
            store.set_faults_once({.lose_requests = true}, argument % 5);
            break;
        case 10:
            step(sealers[argument % 2], 3);
            break;
        case 11:
            clock.advance(60s);
            step(sealers[argument % 2], 10);
            break;
        case 12:
            store.set_faults({.outage = true});
            flush(n);
            step(sealers[argument % 2], 3);
            store.set_faults({});
            break;
        default:
            serve(n, argument);
            break;
        }
    }

    void settle() {
        store.set_faults_once({}, 0);
        for (int rounds = 0; rounds < 300; ++rounds) {
            for (std::size_t it = 0; it < entry_count; ++it) {
                flush(it);
            }
        }
        update_open_window();
        for (int rounds = 0; rounds < 20; ++rounds) {
            clock.advance(45s);
            step(sealers[0], 100);
            step(sealers[1], 100);
        }
    }

    std::vector<usage::usage_figure> figures() {
        std::vector<usage::usage_figure> out;
        const auto items = store.list("usage/sealed/").value();
        for (const auto &item : items) {
            const auto sealed = usage::parse_sealed(item).value();
            out.insert(out.end(), sealed.figures.begin(), sealed.figures.end());
        }
        return out;
    }

    std::map<std::string, usage::usage_figure> billed() {
        std::map<std::string, usage::usage_figure> out;
        for (const auto &it : figures()) {
            auto &sum = out[it.organisation];
            sum.requests += it.requests;
            sum.prompt_tokens += it.prompt_tokens;
            sum.generated_tokens += it.generated_tokens;
        }
        return out;
    }
};

} // namespace

// Guards against billing a served request twice or never after processes were killed or paused, or messages were lost
// or delayed.
TEST_CASE("every served request is billed exactly once over all windows") {
    int corrections = 0;
    std::size_t total = 0;
    const bool holds = rc::check("billed once", [&](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &ops) {
        simulation it;
        for (const auto &[op, argument] : ops) {
            it.apply(op, argument);
        }
        it.settle();
        const auto billed = it.billed();
        RC_ASSERT(billed.size() == it.served.size());
        for (const auto &[organisation, tokens] : it.served) {
            RC_ASSERT(billed.at(organisation).requests == 1U);
            RC_ASSERT(billed.at(organisation).prompt_tokens == tokens);
            RC_ASSERT(billed.at(organisation).generated_tokens == tokens + 1);
        }
        RC_ASSERT(it.store.list("usage/batch/").value().empty());
        total += it.served.size();
        for (const auto &figure : it.figures()) {
            corrections += figure.correction_of != 0 ? 1 : 0;
        }
    });
    CHECK(holds);
    // The generated histories must contain enough requests and late records for the property to be meaningful.
    CHECK(total > 100);
    CHECK(corrections > 10);
}

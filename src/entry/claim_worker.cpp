#include "entry/claim_worker.hpp"

#include <algorithm>

#include "base/overloaded.hpp"

namespace dotterelstack::entry {

namespace internal {

// Longest sleep of the claim thread; messages wake it earlier.
constexpr auto claim_wait = std::chrono::milliseconds{50};
// Longest wait of a graceful stop for outcomes to be committed.
constexpr auto claim_stop_limit = std::chrono::seconds{5};

} // namespace internal

claim_worker::claim_worker(const base::clock &time, store::object_store &store, base::id_source &ids,
                           event_ring &events, std::string owner, std::size_t requests)
    : clock_{time}, store_{store}, ids_{ids}, events_{events},
      registry_{time, {.owner = std::move(owner)}, [](std::string_view /*owner*/) { return false; }}, ring_{requests *
                                                                                                            2} {}

claim_worker::~claim_worker() {
    stop();
}

void claim_worker::start() {
    thread_ = std::thread{[this] { run(); }};
}

void claim_worker::stop() {
    ring_.close();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void claim_worker::submit(claim::claim_request request) {
    enqueue(std::move(request));
}

void claim_worker::finish(std::string_view request, claim::stored_response answer) {
    enqueue(finished{std::string{request}, std::move(answer)});
}

void claim_worker::finish_unknown(std::string_view request) {
    enqueue(unknown{std::string{request}});
}

void claim_worker::finish_not_run(std::string_view request) {
    enqueue(not_run{std::string{request}});
}

void claim_worker::on_sealed_windows(std::uint64_t count) noexcept {
    // Only the highest number matters, so it is passed outside the ring.
    auto known = sealed_windows_.load();
    while (known < count && !sealed_windows_.compare_exchange_weak(known, count)) {
    }
}

void claim_worker::enqueue(message it) {
    ring_.push(std::move(it));
}

void claim_worker::process(message it) {
    std::visit(base::overloaded{[this](claim::claim_request &each) { registry_.submit(std::move(each)); },
                                [this](finished &each) { registry_.finish(each.request, std::move(each.answer)); },
                                [this](unknown &each) { registry_.finish_unknown(each.request); },
                                [this](not_run &each) { registry_.finish_not_run(each.request); }},
               it);
}

void claim_worker::run() {
    while (true) {
        if (auto it = ring_.pop_for(internal::claim_wait)) {
            process(std::move(*it));
            while (auto more = ring_.pop_for(base::duration{0})) {
                process(std::move(*more));
            }
        } else if (ring_.closed()) {
            break;
        }
        registry_.on_sealed_windows(sealed_windows_);
        while (claim::drive_claims(registry_, store_, ids_)) {
        }
        for (auto &decision : registry_.take_decisions()) {
            events_.push(claim_event{std::move(decision)});
        }
    }
    const auto limit = clock_.now() + internal::claim_stop_limit;
    while (registry_.next_due() != base::instant::max() && clock_.now() < limit) {
        if (!claim::drive_claims(registry_, store_, ids_)) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    }
}

} // namespace dotterelstack::entry

#pragma once

#include <atomic>
#include <thread>
#include <variant>

#include "base/id.hpp"
#include "base/ring.hpp"
#include "claim/claim_registry.hpp"
#include "entry/events.hpp"
#include "entry/ports.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::entry {

/** @brief `claim_port` that runs a claim registry against the store on its own worker thread. */
class claim_worker final : public claim_port {
public:
    /**
     * @param owner Incarnation of this entry.
     * @param requests Maximum number of concurrent requests; the ring holds two messages of each, so it is never full.
     */
    claim_worker(const base::clock &time, store::object_store &store, base::id_source &ids, event_ring &events,
                 std::string owner, std::size_t requests);
    claim_worker(const claim_worker &) = delete;
    claim_worker &operator=(const claim_worker &) = delete;
    claim_worker(claim_worker &&) = delete;
    claim_worker &operator=(claim_worker &&) = delete;
    ~claim_worker() override;

    void start();

    /** @brief Commits pending outcomes for at most a few seconds and ends the thread. */
    void stop();

    void submit(claim::claim_request request) override;
    void finish(std::string_view request, claim::stored_response answer) override;
    void finish_unknown(std::string_view request) override;
    void finish_not_run(std::string_view request) override;

    /** @brief Updates the number of sealed usage windows, by which claims age. Thread-safe. */
    void on_sealed_windows(std::uint64_t count) noexcept;

private:
    struct finished {
        std::string request;
        claim::stored_response answer;
    };
    struct unknown {
        std::string request;
    };
    struct not_run {
        std::string request;
    };
    using message = std::variant<claim::claim_request, finished, unknown, not_run>;

    void run();
    void process(message it);
    void enqueue(message it);

    const base::clock &clock_;
    store::object_store &store_;
    base::id_source &ids_;
    event_ring &events_;
    claim::claim_registry registry_;
    base::bounded_ring<message> ring_;
    std::atomic<std::uint64_t> sealed_windows_{0};
    std::thread thread_;
};

} // namespace dotterelstack::entry

#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "base/id.hpp"
#include "base/ring.hpp"
#include "entry/events.hpp"
#include "entry/peer_port.hpp"
#include "entry/ports.hpp"
#include "store/object_store.hpp"
#include "usage/sealed_window.hpp"
#include "usage/usage_recorder.hpp"
#include "usage/usage_replica_buffer.hpp"

namespace dotterelstack::entry {

/** @brief Settings of a `usage_replicator`. */
struct usage_replicator_options {
    std::string incarnation; /**< Incarnation of this entry, the owner of its records. */
    std::string failure_domain;
    std::size_t requests{1000}; /**< Largest number of concurrent requests. */
    base::duration flush_every{std::chrono::seconds{30}};
    base::duration hold_timeout{std::chrono::milliseconds{200}}; /**< Longest wait of a response for the peer. */
    base::duration peer_status_interval{std::chrono::milliseconds{500}};
    base::duration peer_timeout{std::chrono::seconds{5}};         /**< Of an unlisted peer, before it counts as gone. */
    base::duration listed_peer_timeout{std::chrono::seconds{30}}; /**< Of a peer that is still listed. */
    base::duration stop_flush_timeout{std::chrono::seconds{5}};   /**< Of the flush on a graceful stop. */
};

/**
 * @brief `usage_port` that has a peer hold a copy of each record and flushes records to the store.
 *
 * Two threads: the hold thread numbers records and sends them to a peer; the flush thread calls the store and monitors
 * the peers that hold records of this entry or whose records are held here.
 */
class usage_replicator final : public usage_port {
public:
    using peer_source = std::function<std::vector<peer_entry>()>;
    using open_sink = std::function<void(const usage::open_window &)>;

    /** @brief Collaborators; all must outlive the replicator. `on_open` is called whenever `usage/open` has been read.
     */
    struct dependencies {
        const base::clock &time;
        store::object_store &store;
        base::id_source &ids;
        event_ring &events;
        peer_port &calls;
        peer_source peers;
        open_sink on_open;
    };

    usage_replicator(usage_replicator_options options, dependencies with);
    usage_replicator(const usage_replicator &) = delete;
    usage_replicator &operator=(const usage_replicator &) = delete;
    usage_replicator(usage_replicator &&) = delete;
    usage_replicator &operator=(usage_replicator &&) = delete;
    ~usage_replicator() override;

    /** @param address Address of this entry's listener for peers. */
    void start(std::string address);

    /** @brief Flushes the remaining own and held records and ends the threads. */
    void stop();

    void record(served_usage used) override;

    /** @brief Handles `POST /usage/hold` of a peer. */
    [[nodiscard]] http::response on_hold(const http::request &message);

    /** @brief Handles `POST /usage/release` of a peer. */
    [[nodiscard]] http::response on_release(const http::request &message);

    /** @return Number of own records that are not in the store yet. */
    [[nodiscard]] std::size_t unstored_count() const;

    /** @return Number of records held for peers. */
    [[nodiscard]] std::size_t held() const;

private:
    struct hold_outcome {
        std::uint64_t call{0};
        bool held{false};
    };
    using ring_item = std::variant<served_usage, hold_outcome>;

    /** A `POST /usage/hold` without response. */
    struct hold_call {
        std::string peer;
        std::vector<usage::usage_record> records;
        bool responses_wait{false};
        base::instant deadline{}; /**< Until then the responses to callers wait. */
    };

    /** State of the process at an address. */
    struct peer_view {
        std::string incarnation;
        base::instant answered{};
        bool asked{false};
    };

    void run_holds();
    void run_flushes();
    void process(ring_item it, std::vector<usage::usage_record> &new_records);
    void hold(std::vector<usage::usage_record> records, bool responses_wait, base::instant deadline);
    void expire_holds();
    void retry_holds();
    void release_responses(hold_call &call);
    void report_unheld();
    [[nodiscard]] std::string choose_peer() const;
    void read_open_window();
    bool flush_own();
    bool flush_held();
    void watch_peers();
    void ask_status(const std::string &address);
    [[nodiscard]] bool gone(const peer_view &view, bool listed) const;
    void release_at_peers(const std::vector<usage::hold_release> &releases);
    void flush_until(base::instant limit);

    const usage_replicator_options options_;
    dependencies deps_;
    std::string address_;
    base::bounded_ring<ring_item> ring_;
    std::thread hold_thread_;
    std::thread flush_thread_;
    std::atomic<bool> started_{false};

    // Used by the hold thread only.
    std::uint64_t next_call_{1};
    std::map<std::uint64_t, hold_call> calls_;
    std::map<std::string, base::instant, std::less<>> failed_; /**< When failed peers may be chosen again. */
    base::instant retry_due_{};
    base::instant report_due_{};

    // Used by the flush thread only.
    base::instant open_due_{};
    base::instant watch_due_{};
    base::instant held_flush_due_{};

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_{false};
    usage::usage_recorder recorder_;
    usage::usage_replica_buffer holder_;
    std::map<std::string, std::string> owner_addresses_;
    std::map<std::string, peer_view> views_;
    std::size_t releases_{0}; /**< Number of `POST /usage/release` without response. */
};

} // namespace dotterelstack::entry

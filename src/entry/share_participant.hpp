#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "config/config_state.hpp"
#include "entry/events.hpp"
#include "entry/floor_borrower.hpp"
#include "entry/peer_port.hpp"
#include "entry/share_epoch_object.hpp"
#include "lease/authority_check.hpp"
#include "limits/floor_lender.hpp"
#include "limits/share_coordinator.hpp"
#include "limits/share_holder.hpp"
#include "limits/share_units.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::entry {

/** @brief Settings of a `share_participant`. */
struct share_participant_options {
    std::string incarnation; /**< Incarnation of this entry, its name as a member of the epoch. */
    base::duration demand_interval{std::chrono::milliseconds{250}}; /**< Seven may be lost: a grant is valid for 2 s. */
    base::duration epoch_interval{std::chrono::seconds{1}}; /**< Interval of reading and confirming `shares/epoch`. */
    base::duration lender_timeout{std::chrono::seconds{1}}; /**< Without a loan, another lender is chosen. */
};

/**
 * @brief An entry's part in sharing limits: demands and grants, the role of coordinator, the current epoch.
 *
 * Demands are built and shares are applied on the dispatcher's thread, so that no request is admitted between the
 * moment a lent amount is given back and the demand that reports it. A separate thread reads and confirms the epoch.
 *
 * An entry that starts while the store is unreachable is in no epoch and has no floors, the parts of the limits that
 * members of an epoch may use without asking. It borrows from the floors of one other entry until it has its own.
 */
class share_participant {
public:
    using load_source = std::function<limits::row_status(limits::row_key row)>;
    using share_sink = std::function<void(limits::row_key row, const limits::row_share &share)>;
    /** @brief True if a host list was read and contains no other entry. */
    using sole_entry_check = std::function<bool()>;
    /** @brief Check of the lease `shares`, if this entry holds it and has written the epoch under it. */
    using authority_source = std::function<std::optional<lease::authority_check>()>;
    /** @brief The other entries. */
    using peer_source = std::function<std::vector<peer_entry>()>;

    /** @brief Collaborators; all must outlive the participant. */
    struct dependencies {
        const base::clock &time;
        store::object_store &store;
        event_ring &events;
        peer_port &calls;
        sole_entry_check alone;
        authority_source authority;
        peer_source peers;
    };

    share_participant(share_participant_options options, dependencies with);
    share_participant(const share_participant &) = delete;
    share_participant &operator=(const share_participant &) = delete;
    share_participant(share_participant &&) = delete;
    share_participant &operator=(share_participant &&) = delete;
    ~share_participant();

    void start();
    void stop();

    /** @brief Sets the limits of all rows; `tick` must follow before a request is admitted. */
    void set_config(const config::config_state &state);

    /** @brief Applies changed shares and sends demands that are due. Call before each event; does not block. */
    void tick(const load_source &load, const share_sink &apply);

    /**
     * @brief Applies an epoch read from the store; an older version is ignored. The epoch waits while floors of the
     * previous one are lent, as a smaller floor might no longer cover the loans.
     */
    void adopt(const epoch_object &found);

    /** @brief Handles `POST /shares/demand`, and `POST /shares/loan` of an entry without floors. */
    [[nodiscard]] http::response on_demand(const http::request &message);

    /** @brief Handles `GET /shares/epoch`: whether this entry holds the lease, and the number of the current epoch. */
    [[nodiscard]] http::response on_epoch_query() const;

    /** @return Number of the epoch whose shares the dispatcher applies, 0 before the first. */
    [[nodiscard]] std::uint64_t epoch() const noexcept { return applied_epoch_; }

private:
    /** @brief Times at which demands were sent, and expiry of the current grant. */
    struct grant_times {
        std::map<std::uint64_t, base::instant> sent{}; /**< Unanswered demands, by sequence number. */
        base::instant expires{};                       /**< Expiry of the current grant, or an earlier instant. */

        void on_sent(std::uint64_t sequence, base::instant at);
        void on_grant(std::uint64_t sequence);
    };

    struct row_state {
        limits::share_amounts limit{};
        limits::row_status last_status{};
        base::instant last_status_at{};
        bool active{false}; /**< The last demands asked for something or reported use. */
        grant_times grants{};
        grant_times loans{};
        std::optional<limits::share_amounts> applied{}; /**< Allowance that was last passed to the dispatcher. */
    };

    /** @brief Recipient of a demand. */
    enum class demand_kind : std::uint8_t {
        grant, /**< The coordinator of the row. */
        loan   /**< The lender of this entry. */
    };

    struct addressed_demand {
        demand_kind kind{demand_kind::grant};
        bool to_self{false};
        std::string address;
        limits::row_order::owned row;
        limits::share_demand demand;
    };

    [[nodiscard]] std::vector<addressed_demand> build_demands(const load_source &load);
    [[nodiscard]] std::optional<limits::row_use> measure_use(row_state &row, const limits::row_status &status) const;
    [[nodiscard]] std::optional<addressed_demand> build_demand(demand_kind kind, const limits::row_order::owned &name,
                                                               row_state &row, const limits::row_use &use);
    [[nodiscard]] static grant_times &times_of(row_state &row, demand_kind kind) noexcept;
    void apply_shares(const share_sink &apply);
    [[nodiscard]] limits::share_amounts allowance_of(const limits::row_order::owned &key, const row_state &row);
    void offer_loans(const load_source &load);
    void send(const std::vector<addressed_demand> &demands);
    void apply_grants(demand_kind kind, std::uint64_t term, std::string_view body);
    [[nodiscard]] std::optional<limits::share_grant> answer(demand_kind kind, const limits::row_order::owned &row,
                                                            const limits::share_demand &demand);
    void apply_grant(demand_kind kind, std::uint64_t term, const limits::row_order::owned &row,
                     const limits::share_grant &grant);
    [[nodiscard]] bool owns_full_limit() const;
    void update_borrowing();
    void adopt_pending();
    void read_epoch();
    [[nodiscard]] bool is_confirmed() const;
    void confirm_epoch();
    void confirmed(std::uint64_t number, base::instant asked);
    void mark_changed();
    void run(const std::stop_token &token);

    const share_participant_options options_;
    dependencies deps_;
    std::atomic<bool> changed_{true};
    std::atomic<std::uint64_t> applied_epoch_{0};

    // Used by the dispatcher's thread only.
    base::instant demands_due_{};
    base::instant expiry_{base::instant::max()};

    mutable std::mutex mutex_;
    limits::share_holder holder_;
    limits::share_coordinator coordinator_;
    std::map<limits::row_order::owned, row_state, limits::row_order> rows_;
    std::optional<epoch_object> epoch_;
    std::optional<epoch_object> pending_; /**< Newer than `epoch_`; applied when no floors are lent any more. */
    bool epoch_absent_{false};            /**< The store was read and has no epoch. */
    bool started_without_store_{false};   /**< Reset once this entry has floors. */
    limits::floor_lender lender_;
    floor_borrower borrower_;
    base::instant confirmed_until_{}; /**< Until then, no later epoch can have granted anything. */
    bool is_coordinator_{false};      /**< This entry has received a demand as a coordinator. */
    std::jthread thread_;
};

} // namespace dotterelstack::entry

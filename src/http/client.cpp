#include "http/client.hpp"

#include <algorithm>
#include <atomic>
#include <iterator>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http/curl_transfer.hpp"

namespace dotterelstack::http {

namespace internal {

// Kept connections over all addresses; the one that has been idle for longest is closed first.
constexpr std::size_t max_idle_connections = 16;
// The resolution of libcurl's limits, where zero would mean none.
constexpr base::duration shortest_call = std::chrono::milliseconds{1};

/** At most one connection, which is kept for a later transfer. */
struct single_connection {
    socket_table sockets{};
    multi_ptr connections{curl_multi_init(), &curl_multi_cleanup};

    // A new connection replaces the one that has been kept.
    single_connection() { curl_multi_setopt(connections.get(), CURLMOPT_MAXCONNECTS, 1L); }
};

struct idle_connection {
    std::string address;
    std::unique_ptr<single_connection> connection;
};

} // namespace internal

struct curl_client::pool {
    const base::boottime_clock time{};
    std::atomic<base::instant> end{base::instant::max()};
    std::mutex mutex;
    std::vector<internal::idle_connection> idle; /**< In the order in which they were given back. */

    std::unique_ptr<internal::single_connection> take(std::string_view address) {
        const std::scoped_lock lock{mutex};
        const auto newest = std::ranges::find(idle.rbegin(), idle.rend(), address, &internal::idle_connection::address);
        if (newest == idle.rend()) {
            return std::make_unique<internal::single_connection>();
        }
        auto out = std::move(newest->connection);
        idle.erase(std::next(newest).base());
        return out;
    }

    void give_back(std::string_view address, std::unique_ptr<internal::single_connection> connection) {
        std::optional<internal::idle_connection> closed;
        const std::scoped_lock lock{mutex};
        if (idle.size() == internal::max_idle_connections) {
            closed = std::move(idle.front());
            idle.erase(idle.begin());
        }
        idle.push_back({std::string{address}, std::move(connection)});
    }

    /** What made a call fail may concern all connections to the address, and a silent one shows it only to a call. */
    void close_idle(std::string_view address) {
        std::vector<internal::idle_connection> closed;
        const std::scoped_lock lock{mutex};
        const auto rest = std::stable_partition(idle.begin(), idle.end(),
                                                [address](const auto &it) { return it.address != address; });
        std::move(rest, idle.end(), std::back_inserter(closed));
        idle.erase(rest, idle.end());
    }

    base::result<response> run(internal::transfer &it, std::string_view address, call_options options) {
        auto longest = base::duration::max();
        if (const auto last = end.load(); last != base::instant::max()) {
            longest = last - time.now();
            if (longest < internal::shortest_call) {
                return base::fail(base::error_kind::unavailable, "stopping",
                                  std::string{address} + ": this process is about to end and calls nobody");
            }
            options.timeout = options.timeout > base::duration{0} ? std::min(options.timeout, longest) : longest;
        }
        auto taken = options.fresh_connection ? std::make_unique<internal::single_connection>() : take(address);
        const auto handle = internal::new_handle();
        internal::prepare(handle.get(), it, address, options, taken->sockets);
        taken->sockets.assign_all(&it);
        const auto ended = internal::perform(taken->connections.get(), it, options, longest);
        taken->sockets.assign_all(nullptr);
        auto answer = internal::conclude(ended, it, address);
        if (!answer) {
            close_idle(address);
        } else if (!options.fresh_connection) {
            give_back(address, std::move(taken));
        }
        return answer;
    }
};

curl_client::curl_client() {
    internal::ensure_curl();
    pool_ = std::make_unique<pool>();
}

curl_client::~curl_client() = default;

void curl_client::end_calls_at(base::instant when) {
    pool_->end = when;
}

base::result<response> curl_client::call(std::string_view address, const request &message,
                                         const call_options &options) {
    internal::transfer it{message};
    return pool_->run(it, address, options);
}

base::result<response> curl_client::stream(std::string_view address, const request &message,
                                           const call_options &options, const body_sink &sink) {
    internal::transfer it{message};
    it.sink = &sink;
    return pool_->run(it, address, options);
}

base::result<response> curl_client::call_checked(std::string_view address, const request &message,
                                                 const call_options &options, const final_check &check) {
    internal::transfer it{message};
    it.check = &check;
    return pool_->run(it, address, options);
}

} // namespace dotterelstack::http

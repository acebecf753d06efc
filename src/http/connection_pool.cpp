#include "http/connection_pool.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <set>
#include <sys/socket.h>

namespace dotterelstack::http {

namespace internal {

// Idle time up to which a connection is used at most. Servers may drop idle connections sooner than they state.
constexpr base::duration most_idle = std::chrono::seconds{2};
// Lower bound after failures.
constexpr base::duration least_idle = std::chrono::milliseconds{125};
// Failures within this time have one cause, such as the end of a server.
constexpr base::duration one_cause = std::chrono::seconds{1};
// Successful uses until the longest idle time is back at its upper bound.
constexpr int recovery_uses = 64;
// Subtracted from a stated keep-alive: the request takes time to arrive, and the server measures from an earlier
// moment.
constexpr base::duration keep_alive_margin = std::chrono::milliseconds{500};
// Time for which the limit of a server that refused a connection is halved.
constexpr base::duration reduced_time = std::chrono::seconds{5};

/** @return True if the peer has neither sent anything nor ended the connection. */
bool is_quiet(int fd) noexcept {
    char byte = 0;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace internal

std::string_view to_string(drop_reason it) noexcept {
    constexpr std::array<std::string_view, drop_reasons> names{"answer", "no_room", "aged",
                                                               "ended",  "failed",  "replaced"};
    return names.at(static_cast<std::size_t>(it));
}

connection_pool::connection_pool() {
    counts_.longest_idle = internal::most_idle;
}

void connection_pool::drop(server_state &of, std::size_t first, std::size_t n, drop_reason why) {
    if (n > 0) {
        const auto begin = of.idle.begin() + static_cast<std::ptrdiff_t>(first);
        of.idle.erase(begin, begin + static_cast<std::ptrdiff_t>(n));
        counts_.dropped.at(static_cast<std::size_t>(why)) += n;
        counts_.idle -= n;
    }
}

void connection_pool::set_servers(std::span<const pooled_server> all) {
    std::set<std::string_view> listed;
    for (const auto &it : all) {
        listed.insert(it.address);
        auto &known = servers_[it.address];
        if (known.number == 0 || known.incarnation != it.incarnation) {
            drop(known, 0, known.idle.size(), drop_reason::replaced);
            known.incarnation = it.incarnation;
            known.number = next_number_++;
            known.busy = 0;
        }
        known.limit = it.limit;
    }
    for (auto it = servers_.begin(); it != servers_.end();) {
        if (listed.contains(it->first)) {
            ++it;
            continue;
        }
        drop(it->second, 0, it->second.idle.size(), drop_reason::replaced);
        it = servers_.erase(it);
    }
}

bool connection_pool::knows(std::string_view address) const {
    const auto found = servers_.find(address);
    return found != servers_.end() && found->second.limit > 0;
}

std::uint64_t connection_pool::begin(std::string_view address) {
    const auto found = servers_.find(address);
    if (found == servers_.end()) {
        return 0;
    }
    ++found->second.busy;
    return found->second.number;
}

bool connection_pool::usable(const idle_connection &it, base::instant now) const {
    return now < it.until && now - it.since <= counts_.longest_idle;
}

std::optional<owned_socket> connection_pool::take(std::string_view address, base::instant now) {
    const auto found = servers_.find(address);
    if (found == servers_.end()) {
        return std::nullopt;
    }
    auto &of = found->second;
    while (!of.idle.empty()) {
        if (!usable(of.idle.back(), now)) {
            drop(of, of.idle.size() - 1, 1, drop_reason::aged);
        } else if (!internal::is_quiet(of.idle.back().connection.get())) {
            drop(of, of.idle.size() - 1, 1, drop_reason::ended);
        } else {
            auto out = std::move(of.idle.back().connection);
            of.idle.pop_back();
            --counts_.idle;
            ++counts_.reused;
            return out;
        }
    }
    return std::nullopt;
}

void connection_pool::end(std::string_view address, std::uint64_t incarnation, std::optional<drop_reason> why) {
    if (why) {
        ++counts_.dropped.at(static_cast<std::size_t>(*why));
    }
    const auto found = servers_.find(address);
    if (found != servers_.end() && found->second.number == incarnation) {
        --found->second.busy;
    }
}

void connection_pool::give_back(std::string_view address, std::uint64_t incarnation, owned_socket connection,
                                std::optional<base::duration> keep_alive, base::instant now) {
    const auto found = servers_.find(address);
    if (found == servers_.end() || found->second.number != incarnation) {
        return end(address, incarnation, drop_reason::replaced);
    }
    auto &of = found->second;
    const auto limit = now < of.reduced_until ? of.limit / 2 : of.limit;
    if (of.idle.size() + of.busy > limit) {
        return end(address, incarnation, drop_reason::no_room);
    }
    end(address, incarnation, std::nullopt);
    const auto time = keep_alive ? *keep_alive - internal::keep_alive_margin : internal::most_idle;
    of.idle.push_back({std::move(connection), now, now + time});
    ++counts_.idle;
}

void connection_pool::on_reuse_answered() noexcept {
    counts_.longest_idle =
        std::min(counts_.longest_idle + internal::most_idle / internal::recovery_uses, internal::most_idle);
}

void connection_pool::on_reuse_failed(base::instant now) noexcept {
    ++counts_.reuse_failed;
    if (shortened_at_ == base::instant{} || now - shortened_at_ >= internal::one_cause) {
        shortened_at_ = now;
        counts_.longest_idle = std::max(counts_.longest_idle / 2, internal::least_idle);
    }
}

void connection_pool::on_failed(std::string_view address) {
    if (const auto found = servers_.find(address); found != servers_.end()) {
        drop(found->second, 0, found->second.idle.size(), drop_reason::failed);
    }
}

void connection_pool::on_refused(std::string_view address, base::instant now) {
    on_failed(address);
    if (const auto found = servers_.find(address); found != servers_.end()) {
        found->second.reduced_until = now + internal::reduced_time;
    }
}

void connection_pool::on_event(int fd) {
    for (auto &[address, of] : servers_) {
        const auto it =
            std::ranges::find_if(of.idle, [fd](const idle_connection &known) { return known.connection.get() == fd; });
        if (it != of.idle.end()) {
            return drop(of, static_cast<std::size_t>(it - of.idle.begin()), 1, drop_reason::ended);
        }
    }
}

void connection_pool::expire(base::instant now) {
    for (auto &[address, of] : servers_) {
        for (std::size_t n = of.idle.size(); n > 0; --n) {
            if (!usable(of.idle[n - 1], now)) {
                drop(of, n - 1, 1, drop_reason::aged);
            }
        }
    }
}

} // namespace dotterelstack::http

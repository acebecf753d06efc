#include "gateway/limit_share.hpp"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

#include "base/seconds.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

constexpr auto step = 10ms;
constexpr auto window = 4s;

/** What the platform allows in a window. */
double allowed(double limit) {
    return 1.5 * limit * 4 + 5;
}

gateway::gateway_group group_of(std::size_t n, std::size_t own) {
    gateway::gateway_group out{.own = "gateways/" + std::to_string(own), .listed = true};
    for (std::size_t it = 0; it < n; ++it) {
        if (it != own) {
            out.others.push_back("gateways/" + std::to_string(it));
        }
    }
    return out;
}

/** Gateways that send to one limited server whenever their shares let them, and requests wait for it. */
class fleet {
public:
    using share_of = gateway::limit_share (*)(double, const gateway::gateway_group &);

    fleet(std::size_t gateways, double limit, share_of share) : used_(gateways) {
        for (std::size_t it = 0; it < gateways; ++it) {
            shares_.push_back(share(limit, group_of(gateways, it)));
        }
    }

    /** Lets time pass. @param demand True while each gateway has requests for the server. */
    void run(base::duration time, bool demand) {
        for (const auto end = now_ + time; now_ < end; now_ += step) {
            for (std::size_t it = 0; demand && it < shares_.size(); ++it) {
                if (shares_[it].next(now_, told_, used_[it]) <= now_) {
                    used_[it] = now_;
                    sent_.push_back(now_);
                    ++total_;
                }
            }
            while (!sent_.empty() && sent_.front() <= now_ - window) {
                sent_.pop_front();
            }
            most_ = std::max(most_, sent_.size());
        }
    }

    [[nodiscard]] double most() const { return static_cast<double>(most_); }
    [[nodiscard]] double total() const { return static_cast<double>(total_); }

private:
    const base::instant told_{1h};
    base::instant now_{told_};
    std::vector<gateway::limit_share> shares_;
    std::vector<std::optional<base::instant>> used_;
    std::deque<base::instant> sent_;
    std::size_t most_{0};
    std::size_t total_{0};
};

gateway::limit_share shared(double limit, const gateway::gateway_group &group) {
    return gateway::share_of_limit(limit, "i-1", group);
}

/** Every gateway may use the same part at any time. */
gateway::limit_share equal_parts(double limit, const gateway::gateway_group &group) {
    return {.interval = base::from_seconds(group.size() / limit)};
}

} // namespace

// Few and many gateways, steady load, and a burst at all gateways after a quiet time. Guards against shares that add up
// to more than the limit, because each gateway may be a request ahead of its own.
TEST_CASE("the requests of all gateways stay within a server's limit") {
    for (const std::size_t gateways : {1, 6, 31, 68, 300}) {
        for (const double limit : {0.3, 2.0, 3.4, 4.7, 20.0}) {
            CAPTURE(gateways);
            CAPTURE(limit);
            fleet it{gateways, limit, shared};
            it.run(1min, true);
            it.run(5min, false);
            it.run(1min, true);
            CHECK(it.most() <= allowed(limit));
        }
    }
    fleet naive{68, 3.4, equal_parts};
    naive.run(5min, false);
    naive.run(1min, true);
    CHECK(naive.most() > allowed(3.4));
}

// Guards against a limit of which most stays unused, although requests wait for the server.
TEST_CASE("a server with a limit gets most of what it takes while requests wait for it") {
    for (const std::size_t gateways : {1, 6, 68, 300}) {
        for (const double limit : {2.0, 4.7, 20.0}) {
            CAPTURE(gateways);
            CAPTURE(limit);
            fleet it{gateways, limit, shared};
            it.run(2min, true);
            CHECK(it.total() >= 0.85 * limit * 120);
            CHECK(it.total() <= 1.2 * limit * 120);
        }
    }
}

// Guards against gateways that never learn that a limit has ended, and against a limit of 0 that lasts for ever.
TEST_CASE("each gateway sends now and then to a server with a limit") {
    for (std::size_t own = 0; own < 68; ++own) {
        const auto share = shared(4.0, group_of(68, own));
        const base::instant told{1h};
        CHECK(share.next(told, told, std::nullopt) <= told + 3min);
    }
    const auto none = shared(0, group_of(6, 0));
    CHECK(none.next(base::instant{1h}, base::instant{1h}, std::nullopt) <= base::instant{1h + 8min});
}

// A store that is away at the start: no gateway knows the others. Guards against each taking the whole limit.
TEST_CASE("while the other gateways are not known, a server with a limit gets little") {
    fleet it{30, 4, [](double limit, const gateway::gateway_group &group) {
                 return shared(limit, {.own = group.own, .others = {}, .listed = false});
             }};
    it.run(5min, true);
    CHECK(it.most() <= allowed(4));
    CHECK(it.total() >= 1);
}

// Guards against a division by an interval of nothing, for a limit that no server means.
TEST_CASE("a limit beyond any rate, or of nothing, leaves a time between two requests") {
    for (const double limit : {0.0, 1e6, 5e11, 1e300}) {
        for (const bool listed : {false, true}) {
            CAPTURE(limit);
            CAPTURE(listed);
            auto group = group_of(100, 7);
            group.listed = listed;
            const auto share = gateway::share_of_limit(limit, "desk-1", group);
            CHECK(share.interval > 0ms);
            CHECK(share.interval < 24h);
            const base::instant now{1h};
            CHECK(share.next(now, now, std::nullopt) >= now);
            CHECK(share.next(now, now, now) > now);
        }
    }
}

#include "http/connection_pool.hpp"

#include <array>
#include <doctest/doctest.h>
#include <sys/socket.h>

using namespace dotterelstack;
using namespace std::chrono_literals;
using http::drop_reason;

namespace {

const std::string address{"10.0.0.1:80"};

struct fixture {
    http::connection_pool pool;
    base::instant now{1h};
    std::vector<http::owned_socket> peers; /**< The servers' ends of the connections. */

    fixture() { list("a", 4); }

    void list(std::string incarnation, std::uint32_t limit) {
        pool.set_servers(std::array{http::pooled_server{address, std::move(incarnation), limit}});
    }

    void give_back(std::uint64_t incarnation, std::optional<base::duration> keep_alive = std::nullopt) {
        std::array<int, 2> ends{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        peers.emplace_back(ends[1]);
        pool.give_back(address, incarnation, http::owned_socket{ends[0]}, keep_alive, now);
    }

    void keep(std::optional<base::duration> keep_alive = std::nullopt) { give_back(pool.begin(address), keep_alive); }

    [[nodiscard]] bool take() { return pool.take(address, now).has_value(); }
    [[nodiscard]] std::uint64_t dropped(drop_reason why) const {
        return pool.counts().dropped.at(static_cast<std::size_t>(why));
    }
};

} // namespace

// Guards against a request on a connection that the server closes at the same moment.
TEST_CASE("a connection is used only well within the server's keep-alive and its own age") {
    fixture it;
    it.keep(1s);
    it.now += 450ms;
    CHECK(it.take());
    it.keep(1s);
    it.now += 500ms;
    CHECK_FALSE(it.take());
    it.keep(1h);
    it.now += 1h;
    CHECK_FALSE(it.take());
    it.keep(0s);
    it.pool.expire(it.now);
    CHECK(it.pool.counts().idle == 0);
    CHECK(it.dropped(drop_reason::aged) == 3);
}

// Guards against an answer to an earlier request that is read as the answer to the next one.
TEST_CASE("a connection that has ended or holds unread bytes is not used") {
    fixture it;
    it.keep();
    it.peers.clear();
    CHECK_FALSE(it.take());
    it.keep();
    REQUIRE(::send(it.peers.back().get(), "x", 1, 0) == 1);
    CHECK_FALSE(it.take());
    CHECK(it.dropped(drop_reason::ended) == 2);
}

// Guards against requests to a server that has left, or to another one that has got its address.
TEST_CASE("connections to a server that left, was replaced or failed are closed") {
    fixture it;
    it.keep();
    it.list("b", 4);
    CHECK_FALSE(it.take());
    const auto before = it.pool.begin(address);
    it.list("c", 4);
    it.give_back(before);
    CHECK_FALSE(it.take());
    CHECK(it.dropped(drop_reason::replaced) == 2);
    it.keep();
    it.pool.on_failed(address);
    CHECK_FALSE(it.take());
    it.keep();
    it.pool.set_servers({});
    CHECK_FALSE(it.pool.knows(address));
    CHECK(it.pool.counts().idle == 0);
}

// Guards against idle connections that take up what a server accepts from all callers.
TEST_CASE("idle and busy connections stay within the limit, which a refusal halves") {
    fixture it;
    const auto first = it.pool.begin(address);
    for (int n = 0; n < 5; ++n) {
        it.keep();
    }
    CHECK(it.pool.counts().idle == 3);
    CHECK(it.dropped(drop_reason::no_room) == 2);
    it.pool.end(address, first, std::nullopt);
    it.pool.on_refused(address, it.now);
    for (int n = 0; n < 5; ++n) {
        it.keep();
    }
    CHECK(it.pool.counts().idle == 2);
    it.now += 5s;
    it.keep();
    CHECK(it.pool.counts().idle == 3);
}

// Guards against losing a request on each idle connection of servers that drop them without notice.
TEST_CASE("after failures of kept connections they are used for a shorter time") {
    fixture it;
    const auto longest = it.pool.counts().longest_idle;
    it.pool.on_reuse_failed(it.now);
    it.pool.on_reuse_failed(it.now);
    CHECK(it.pool.counts().longest_idle == longest / 2);
    it.keep();
    it.now += longest / 2 + 1ms;
    CHECK_FALSE(it.take());
    for (int n = 0; n < 64; ++n) {
        it.pool.on_reuse_answered();
    }
    CHECK(it.pool.counts().longest_idle == longest);
}

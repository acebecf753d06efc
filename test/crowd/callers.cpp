#include <chrono>
#include <doctest/doctest.h>
#include <string>

#include "crowd/crowd.hpp"
#include "crowd/process_room.hpp"
#include "support/forward_site.hpp"
#include "support/site.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;
using test::crowd_script;
using test::eventually;

namespace {

constexpr int memory_mb = 48;
constexpr int descriptors = 1200;
constexpr std::size_t clients = 560;
// For the crowd that takes no memory but connections.
constexpr int few_descriptors = 300;
constexpr std::size_t many_clients = 400;
constexpr std::size_t body_bytes = 65'000;
constexpr std::size_t largest_body = std::size_t{4} << 20U;
constexpr auto crowd_limit = 6s;
constexpr auto answer_limit = 20s;

/** Where a crowd comes. */
struct place {
    std::string name;
    std::string listener; /**< As the gateway names it when it starts. */
    std::string target;
};

const std::vector<place> places{{"route", "callers", "/book/1"},
                                {"no route", "callers", "/none/1"},
                                {"readiness", "readiness", "/readiness"},
                                {"metrics", "metrics", "/metrics"},
                                {"peers", "peers", "/servers"}};

std::string head(const place &at, const std::string &more) {
    return "POST " + at.target +
           " HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key-1\r\nAttempt-Id: crowd\r\n" +
           "Deadline-Ms: 4000\r\n" + more + "\r\n";
}

std::string head_of_body(const place &at, std::size_t size) {
    return head(at, "Content-Length: " + std::to_string(size) + "\r\n");
}

std::string short_fields(int n) {
    std::string out;
    for (; n > 0; --n) {
        out += "a:b\r\n";
    }
    return out;
}

/** A body that stops one byte short of its end. */
std::string short_body(const place &at, std::size_t size) {
    return head_of_body(at, size) + std::string(size - 1, 'x');
}

/** A body in chunks without the last chunk. */
std::string chunked_body(const place &at, std::size_t size) {
    constexpr std::size_t chunk = 1000;
    auto out = head(at, "Transfer-Encoding: chunked\r\n");
    for (std::size_t n = 0; n < size; n += chunk) {
        out += "3e8\r\n" + std::string(chunk, 'x') + "\r\n";
    }
    return out;
}

struct fixture {
    test::forward_site site;
    int probes{0};

    explicit fixture(int descriptor_limit = descriptors) {
        site.configure({"key-1"});
        site.start_runner("desk-1", "", {"--slots", "200"});
        site.set_memory_mb(memory_mb);
        site.set_fresh_connections();
        site.set_descriptors(descriptor_limit);
        site.start_gateway(0);
        REQUIRE(eventually([this] { return site.ready(0) && books(); }));
    }

    [[nodiscard]] bool books(const std::string &body = "body") {
        return site.send(0, "book", "probe-" + std::to_string(probes++), "key-1", {}, body).status == 200;
    }
};

/** Sends a crowd to each place, with a gateway of its own, and checks what must hold beside and after it. */
template<typename Script>
void check_crowd(const std::vector<place> &all, const Script &script, int descriptor_limit = descriptors,
                 std::size_t size = clients) {
    for (const auto &at : all) {
        CAPTURE(at.name);
        fixture it{descriptor_limit};
        auto &gateway = it.site.gateway(0);
        const test::process_room room{gateway.pid()};
        {
            const test::crowd callers{gateway.address(at.listener), size, [&](std::size_t) { return script(at); }};
            const auto until = std::chrono::steady_clock::now() + crowd_limit;
            do {
                std::this_thread::sleep_for(500ms);
            } while (callers.busy() && std::chrono::steady_clock::now() < until);
            CHECK_MESSAGE(eventually([&] { return it.books(); }, answer_limit), "booking beside the crowd");
            CHECK_MESSAGE(eventually([&] { return it.site.ready(0); }, answer_limit), "ready beside the crowd");
            MESSAGE(at.name << ": sent MiB " << callers.sent() / (1U << 20U));
        }
        CHECK_MESSAGE(eventually([&] { return it.books(); }, answer_limit), "booking after the crowd");
        MESSAGE(at.name << ": peak memory of the crowd " << room.peak_memory_mb() << " MiB");
        CHECK_MESSAGE(eventually([&] { return it.books(std::string(largest_body, 'x')); }, answer_limit),
                      "booking with the largest legal body");
        const auto memory = room.peak_memory_mb();
        const auto open = room.peak_descriptors();
        MESSAGE(at.name << ": peak memory " << memory << " MiB, descriptors " << open);
        CHECK(memory <= memory_mb);
        CHECK(open <= static_cast<std::size_t>(descriptor_limit));
        CHECK_FALSE(gateway.wait(0ms));
    }
}

} // namespace

// Guards against bodies of legal size, many at once, that stop short of their end and stay in memory.
TEST_CASE("bodies_in_one_piece") {
    check_crowd(places, [](const place &at) { return crowd_script{.bytes = short_body(at, body_bytes)}; });
}

// As above, for bodies whose parts are too small for a limit on each of them.
TEST_CASE("bodies_in_small_pieces") {
    check_crowd(places,
                [](const place &at) { return crowd_script{.bytes = short_body(at, body_bytes), .piece = 2000}; });
}

// As above, for bodies whose size is not known from their head.
TEST_CASE("bodies_in_chunks") {
    check_crowd(places, [](const place &at) { return crowd_script{.bytes = chunked_body(at, body_bytes)}; });
}

// Guards against bodies that are kept although they are refused at their end.
TEST_CASE("bodies_over_the_limit") {
    constexpr std::size_t few = 40;
    check_crowd(
        places,
        [](const place &at) {
            auto out = head_of_body(at, std::size_t{1} << 30U);
            return crowd_script{.bytes = std::move(out) + std::string(largest_body + body_bytes, 'x')};
        },
        descriptors, few);
}

// Guards against memory for each field of a head that is more than the field's bytes.
TEST_CASE("heads_of_short_fields") {
    constexpr int accepted_fields = 280;
    check_crowd(places, [](const place &at) {
        return crowd_script{.bytes = head(at, short_fields(accepted_fields) + "Content-Length: 100\r\n") +
                                     std::string(99, 'x')};
    });
}

// As above, for so many fields that the library has no room for them.
TEST_CASE("heads_of_too_many_fields") {
    check_crowd(places, [](const place &at) { return crowd_script{.bytes = head(at, short_fields(3000))}; });
}

// Guards against requests and answers that pile up for callers who do not read.
TEST_CASE("requests_ahead") {
    check_crowd(places,
                [](const place &at) { return crowd_script{.bytes = head_of_body(at, 4) + "body", .repeats = 1000}; });
}

// Guards against bodies that are sent so slowly that they never end but always go on.
TEST_CASE("slow_senders") {
    check_crowd(places, [](const place &at) {
        return crowd_script{.bytes = short_body(at, body_bytes), .slow_from = body_bytes - 2000};
    });
}

// Guards against answers that wait for callers who read next to nothing.
TEST_CASE("slow_readers") {
    check_crowd(places, [](const place &at) {
        return crowd_script{.bytes = head(at, "Test-Size: 200000\r\nContent-Length: 4\r\n") + "body",
                            .repeats = 20,
                            .reads_slowly = true};
    });
}

// Guards against heads that stop halfway, also in the request line and with the room of the library used up.
TEST_CASE("half_heads") {
    check_crowd(places, [](const place &at) {
        auto out = head(at, "X: " + std::string(30'000, 'x'));
        out.resize(out.size() - 2);
        return crowd_script{.bytes = std::move(out)};
    });
}

TEST_CASE("half_request_lines") {
    check_crowd(places, [](const place &at) {
        return crowd_script{.bytes = "POST " + at.target + "?" + std::string(31'000, 'x')};
    });
}

// Guards against connections in a short body that count as busy and keep ordinary callers out.
TEST_CASE("short_bodies_at_the_limit_of_connections") {
    check_crowd(
        places, [](const place &at) { return crowd_script{.bytes = short_body(at, 100)}; }, few_descriptors,
        many_clients);
}

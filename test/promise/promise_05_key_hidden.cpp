#include <doctest/doctest.h>
#include <set>

#include "support/site.hpp"

using namespace dotterelstack;
using nlohmann::json;

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

std::string percent_encoded(std::string_view text) {
    std::string out;
    for (const unsigned char it : text) {
        out += '%';
        out += hex_digits[it >> 4U];
        out += hex_digits[it & 15U];
    }
    return out;
}

std::string json_escaped(std::string_view text) {
    std::string out;
    for (const unsigned char it : text) {
        out += "\\u00";
        out += hex_digits[it >> 4U];
        out += hex_digits[it & 15U];
    }
    return out;
}

/** Requests that carry a key in every place in which callers put it. */
std::vector<http::request> requests_with(const std::string &key) {
    const http::field bearer{"Authorization", "Bearer " + key};
    const http::field type{"Content-Type", "application/json"};
    const auto encoded = percent_encoded(key);
    const auto completion = [](const std::string &prompt) {
        return R"({"model":"wording-short","max_tokens":2,"prompt":")" + prompt + "\"}";
    };
    const std::string availability = "/services/booking/availability";
    const std::string bookings = "/services/booking/bookings";
    return {
        {"POST", "/v1/completions", {bearer, type}, completion("header")},
        {"POST", "/v1/completions?api_key=" + key, {bearer, type}, completion("query")},
        {"POST", "/v1/completions", {bearer, type, {"Cookie", "key=" + key}}, completion("cookie")},
        {"POST", "/v1/completions", {bearer, type, {"X-Api-Key", key}}, completion("other header")},
        {"POST", "/v1/completions", {bearer, type}, completion("body " + key)},
        {"POST", "/v1/completions", {bearer, type}, completion("escaped " + json_escaped(key))},
        {"POST", "/v1/completions", {bearer, type}, completion("encoded " + encoded)},
        {"GET", availability, {bearer}, ""},
        {"GET", availability + "?api_key=" + key, {bearer}, ""},
        {"GET", availability + "?a=1&api_key=" + encoded + "&b=2", {bearer}, ""},
        {"GET", availability + "?" + encoded + "=1", {bearer}, ""},
        {"GET", availability, {bearer, {"Cookie", "session=" + key}, {"Referer", "http://a/?k=" + key}}, ""},
        {"GET", availability + "/" + key, {bearer}, ""},
        {"GET", availability + "/" + encoded, {bearer}, ""},
        {"POST", bookings, {bearer, type}, json{{"booking_id", "b-1"}, {"note", key}}.dump()},
        {"POST", bookings, {bearer, type}, R"({"booking_id":"b-2","note":")" + json_escaped(key) + "\"}"},
        {"POST", bookings, {bearer, type}, R"({"booking_id":"b-3","note":")" + encoded + "\"}"},
        {"POST", bookings, {bearer, {"Content-Type", "text/plain; k=" + key}}, R"({"booking_id":"b-4"})"},
        {"POST", bookings, {bearer, type, {"Idempotency-Key", key}}, R"({"booking_id":"b-5"})"},
    };
}

} // namespace

// Shows that the check can fail: requests that are passed on unchanged show the key in every place in which it stands
// unescaped, also without the Authorization field. Escaped keys are hidden from the stand-in; the entry has to refuse
// them.
TEST_CASE("promise 5: the stand-ins see keys in requests that are passed on unchanged") {
    const std::string key = "dsk_0123456789abcdef0123456789abcdef";
    test::child_process engine{"standin_engine", {"--model", "wording-short", "--refuse-key-text", key}};
    const auto address = engine.address("engine");
    const auto sightings = [&] {
        return json::parse(test::site::send(address, {"GET", "/v1/state", {}, ""}).body)
            .at("key_sightings")
            .get<std::uint64_t>();
    };
    std::size_t seen = 0;
    for (auto it : requests_with(key)) {
        const auto before = sightings();
        (void)test::site::send(address, it);
        CHECK(sightings() > before);
        it.fields.erase(it.fields.begin());
        const auto between = sightings();
        (void)test::site::send(address, it);
        seen += sightings() > between ? 1U : 0U;
    }
    CHECK(seen == 12);
}

// Guards against a key that reaches a backend server in any part of a request.
TEST_CASE("promise 5: no backend server sees a key, wherever the caller puts it") {
    const std::string prefix = "dsk_";
    test::site it{{.engines = 1,
                   .services = 1,
                   .engine_arguments = {{"--refuse-key-text", prefix}},
                   .service_arguments = {"--refuse-key-text", prefix}}};
    std::size_t served = 0;
    std::set<std::string> refusals;
    for (const auto &message : requests_with(it.key())) {
        CAPTURE(message.target);
        const auto got = test::site::send(it.callers(), message);
        served += got.status == 200 || got.status == 201 ? 1U : 0U;
        if (got.status >= 400) {
            refusals.insert(got.code());
        }
        // The stand-ins would not recognise an escaped key in a body or path, so that only a refusal counts.
        const bool escaped = message.body.find(percent_encoded(it.key())) != std::string::npos ||
                             message.body.find(json_escaped(it.key())) != std::string::npos ||
                             message.path().find(percent_encoded(it.key())) != std::string::npos;
        CHECK((!escaped || got.code() == "key_in_request"));
        // Either served without the key or refused; never lost.
        CHECK(got.status >= 200);
        CHECK(got.status < 500);
    }
    CHECK(served >= 8);
    CHECK(refusals == std::set<std::string>{"key_in_request"});
    CHECK(it.backend_get(0, "/v1/state").at("key_sightings") == 0);
    CHECK(it.backend_get(1, "/v1/state").at("key_sightings") == 0);
    // What was refused did not run.
    CHECK(it.runs_of("b-1") == 0);
    CHECK(it.runs_of("b-2") == 0);
}

// Guards against a key of another organisation, which is as secret as the caller's own.
TEST_CASE("promise 5: no backend server sees a key of another organisation") {
    test::site it{{.engines = 1,
                   .services = 1,
                   .engine_arguments = {{"--refuse-key-text", "dsk_"}},
                   .service_arguments = {"--refuse-key-text", "dsk_"}}};
    const auto &other = it.key(1);
    CHECK(it.call(0, "GET", "/services/booking/availability?k=" + other).status == 200);
    CHECK(it.call(0, "GET", "/services/booking/availability", "", {{"Cookie", other}}).status == 200);
    CHECK(it.book(0, other).code() == "key_in_request");
    CHECK(it.complete(0, "tell " + other, 2).code() == "key_in_request");
    CHECK(it.backend_get(0, "/v1/state").at("key_sightings") == 0);
    CHECK(it.backend_get(1, "/v1/state").at("key_sightings") == 0);
}

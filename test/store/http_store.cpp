#include "store/http_store.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace dotterelstack;
using base::error_kind;

namespace {

class fake_client final : public http::client {
public:
    std::optional<base::error> failure;
    http::response answer;
    std::vector<http::request> seen;
    http::call_options limits;

    base::result<http::response> call(std::string_view, const http::request &message,
                                      const http::call_options &options) override {
        seen.push_back(message);
        limits = options;
        if (failure) {
            return boost::outcome_v2::failure(*failure);
        }
        return answer;
    }
    base::result<http::response> stream(std::string_view where, const http::request &message,
                                        const http::call_options &options, const http::body_sink &) override {
        return call(where, message, options);
    }
    base::result<http::response> call_checked(std::string_view where, const http::request &message,
                                              const http::call_options &options, const http::final_check &) override {
        return call(where, message, options);
    }
};

struct fixture {
    fake_client client;
    store::http_store store{client, "127.0.0.1:1", {.timeout = base::duration{0}}};
};

} // namespace

// Guards against an unconditional write, or a key that ends up in another path.
TEST_CASE("http_store sends conditions and escaped keys and reads versions from ETags") {
    fixture it;
    it.client.answer = {200, {{"ETag", "\"7\""}}, "text"};
    CHECK(it.store.put("a/b c", "v", store::absent).value() == 7);
    CHECK(it.client.seen.back().target == "/v1/objects/a/b%20c");
    CHECK(http::find_field(it.client.seen.back().fields, "If-None-Match") == "*");
    CHECK(it.store.put("a", "v", 6).value() == 7);
    CHECK(http::find_field(it.client.seen.back().fields, "If-Match") == "\"6\"");
    CHECK(it.store.get("a").value()->value == "text");
    it.client.answer = {404, {}, ""};
    CHECK_FALSE(it.store.get("a").value().has_value());
}

// Guards against an error kind that lets a caller conclude too much.
TEST_CASE("http_store maps failures as the interface says") {
    fixture it;
    const auto put_kind = [&it] { return it.store.put("a", "v", 1).error().kind; };
    it.client.failure = base::error{error_kind::unknown_outcome, "no_answer", ""};
    CHECK(put_kind() == error_kind::unknown_outcome);
    CHECK(it.store.erase("a", 1).error().kind == error_kind::unknown_outcome);
    CHECK(it.store.get("a").error().kind == error_kind::timeout);
    CHECK(it.store.list("a").error().kind == error_kind::timeout);
    it.client.failure = base::error{error_kind::unavailable, "not_reached", ""};
    CHECK(put_kind() == error_kind::unavailable);
    it.client.failure.reset();
    it.client.answer = {412, {}, ""};
    CHECK(put_kind() == error_kind::conflict);
    it.client.answer = {503, {}, ""};
    CHECK(put_kind() == error_kind::unknown_outcome);
    CHECK(it.store.get("a").error().kind == error_kind::unavailable);
    it.client.answer = {200, {}, "no version"};
    CHECK(put_kind() == error_kind::unknown_outcome);
    CHECK_FALSE(it.store.get("a"));
    CHECK_FALSE(it.store.list("a"));
}

// Guards against a watch without deadline on a connection that has gone silent.
TEST_CASE("http_store bounds every call, watches by their wait plus the call timeout") {
    fixture it;
    it.client.answer = {200, {}, R"({"events":[{"key":"a","version":3,"value":"x"}],"revision":4})"};
    const auto batch = it.store.watch("a", 2, {std::chrono::seconds{10}});
    REQUIRE(batch);
    CHECK(batch.value().revision == 4);
    CHECK(batch.value().events.at(0).item.value == "x");
    CHECK(it.client.seen.back().target == "/v1/watch?prefix=a&since=2&wait_ms=10000");
    CHECK(it.client.limits.timeout == std::chrono::seconds{12});
    CHECK(it.client.limits.connect_timeout.count() > 0);
    it.client.answer = {200, {}, R"({"objects":[{"key":"a","version":3,"value":"x"}],"revision":4})"};
    CHECK(it.store.list("a").value().at(0).version == 3);
    CHECK(it.client.limits.timeout == std::chrono::seconds{2});
}

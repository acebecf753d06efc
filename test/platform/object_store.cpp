#include "platform/object_store.hpp"

#include <algorithm>
#include <cstddef>
#include <doctest/doctest.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/server.hpp"
#include "platform/http_duties.hpp"
#include "support/scripted_server.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

/** A server that answers with a function of the test and records the requests it receives. */
struct fixture {
    std::vector<http::request> asked;
    std::function<http::response(const http::request &)> answer;
    http::curl_client client;
    http::server server;
    std::string address;

    fixture() {
        const auto bound = server.start("127.0.0.1:0", http::answer_with([this](const http::request &message) {
                                            asked.push_back(message);
                                            return answer(message);
                                        }));
        REQUIRE(bound);
        address = bound.value();
    }

    platform::object_store store() { return platform::object_store{client, address}; }

    static http::response json(int status, std::string body) {
        return {status, {{"Content-Type", "application/json"}}, std::move(body)};
    }

    static http::response json_in_era(int era, std::string body) {
        return {200, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}}, std::move(body)};
    }
};

const std::string item = R"({"Metadata":{"Name":"a","Revision":12,"CreatedRev":9},"Spec":{"x":1},"Status":null})";

} // namespace

// Guards against keys and values that are not read back as they were written.
TEST_CASE("objects are read and written under kind and name") {
    fixture it;
    auto store = it.store();
    it.answer = [](const auto &) { return fixture::json(200, item); };
    const auto found = store.get("leases/usage/x");
    REQUIRE(found);
    REQUIRE(found.value());
    CHECK(found.value()->key == "leases/usage/x");
    CHECK(found.value()->version == 12);
    CHECK(found.value()->value == R"({"x":1})");
    CHECK(it.asked.back().target == "/objects/leases/usage.x");
    CHECK(store.put("leases/a", R"({"x":2})", 11).value() == 12);
    CHECK(it.asked.back().method == "PUT");
    CHECK(nlohmann::json::parse(it.asked.back().body)["Metadata"]["Revision"] == 11);
    CHECK(store.put("leases/a", R"({"x":2})", store::absent).value() == 12);
    CHECK(it.asked.back().method == "POST");
    CHECK(it.asked.back().target == "/objects/leases");
    CHECK(store.erase("leases/a", 12));
    CHECK(it.asked.back().target == "/objects/leases/a?Revision=12");
}

// Guards against errors that claim a known outcome where it is unknown, or the reverse.
TEST_CASE("statuses are mapped to typed errors") {
    fixture it;
    auto store = it.store();
    int status = 0;
    it.answer = [&status](const auto &) { return fixture::json(status, "{}"); };
    status = 404;
    CHECK_FALSE(store.get("k/a").value());
    const auto write = [&](int with) {
        status = with;
        return store.put("k/a", "{}", 3).error().kind;
    };
    CHECK(write(409) == base::error_kind::conflict);
    CHECK(write(503) == base::error_kind::unavailable);
    CHECK(write(429) == base::error_kind::unavailable);
    CHECK(write(500) == base::error_kind::unknown_outcome);
    CHECK(write(200) == base::error_kind::unknown_outcome);
    status = 410;
    CHECK(store.watch("k/", 5, {1ms}).error().code == "history_lost");
}

// Guards against lists that end after the first page, and against one invalid entry that hides the others.
TEST_CASE("lists are read to the last page, also with entries that are not valid UTF-8") {
    fixture it;
    auto store = it.store();
    it.answer = [](const http::request &message) {
        const bool first = message.target.find("after") == std::string::npos;
        return first ? fixture::json(200, R"({"items":[)" + item + R"(],"Truncated":true,"StoreRevision":530})")
                     : fixture::json(200, R"({"items":[{"Metadata":{"Name":"b","Revision":13},"Spec":")"
                                          "\xff\xfe"
                                          R"("}],"Truncated":false,"StoreRevision":531})");
    };
    const auto all = store.watch("k/", 0, {1ms});
    REQUIRE(all);
    CHECK(all.value().events.size() == 2);
    CHECK(all.value().revision == 530);
    CHECK(it.asked.back().target == "/objects/k?after=a");
    CHECK(store.list("k/").value().size() == 2);
}

// Guards against a gateway that ends because another writer has nested a value so deeply that printing it needs more
// stack than there is.
TEST_CASE("values that are nested deeply are cut off, and the other objects of the list are read") {
    constexpr std::size_t depth = 300'000;
    fixture it;
    auto store = it.store();
    it.answer = [](const auto &) {
        return fixture::json(200, R"({"items":[{"Metadata":{"Name":"b","Revision":13},"Spec":{"Address":)" +
                                      std::string(depth, '[') + std::string(depth, ']') + "}}," + item +
                                      R"(],"Truncated":false,"StoreRevision":531})");
    };
    const auto all = store.list("k/");
    REQUIRE(all);
    REQUIRE(all.value().size() == 2);
    CHECK(all.value()[0].value.size() < 1000);
    CHECK(all.value()[1].value == R"({"x":1})");
}

// Guards against one object that hides all others and their changes: text with half a surrogate pair, or no name.
TEST_CASE("objects that cannot be read cost only themselves") {
    fixture it;
    auto store = it.store();
    const std::string half_pair = R"({"Metadata":{"Name":"b","Revision":13},"Spec":{"t":"\udcff \ud83d\ude00"}})";
    const std::string nameless = R"({"Metadata":{"Name":7,"Revision":14},"Spec":{}})";
    it.answer = [&](const auto &) {
        return fixture::json(200, R"({"items":[)" + nameless + "," + half_pair + "," + item +
                                      R"(],"Truncated":false,"StoreRevision":531})");
    };
    const auto all = store.list("k/");
    REQUIRE(all);
    REQUIRE(all.value().size() == 2);
    CHECK(all.value()[0].key == "k/b");
    CHECK(all.value()[0].value.find("\xf0\x9f\x98\x80") != std::string::npos);
    CHECK(all.value()[1].key == "k/a");
    it.answer = [&](const auto &) {
        return fixture::json(200, R"({"events":[{"Deleted":false,"Object":)" + nameless +
                                      R"(},{"Deleted":false,"Object":)" + half_pair + R"(},{"Object":)" + item +
                                      R"(}],"StoreRevision":533})");
    };
    const auto seen = store.watch("k/", 530, {20ms});
    REQUIRE(seen);
    CHECK(seen.value().events.size() == 2);
    CHECK(seen.value().revision == 533);
}

// Guards against watches that miss changes or removals.
TEST_CASE("watches report changes and removals") {
    fixture it;
    auto store = it.store();
    it.answer = [](const auto &) {
        return fixture::json(200, R"({"events":[{"Deleted":true,"Object":)" + item + R"(}],"StoreRevision":533})");
    };
    const auto seen = store.watch("k/", 530, {20ms});
    REQUIRE(seen);
    CHECK(seen.value().revision == 533);
    REQUIRE(seen.value().events.size() == 1);
    CHECK(seen.value().events[0].deleted);
    CHECK(it.asked.back().target == "/objects/k?Watch=530&WaitMs=20");
}

// Guards against changes that are missed because the store, back from a copy, has passed again the watched revision.
TEST_CASE("a watch that begins in an earlier era of the store has lost its history") {
    fixture it;
    auto store = it.store();
    int era = 1;
    it.answer = [&era](const http::request &message) {
        const bool watch = message.target.find("Watch") != std::string::npos;
        return fixture::json_in_era(era, watch ? R"({"events":[],"StoreRevision":533})"
                                               : R"({"items":[],"Truncated":false,"StoreRevision":530})");
    };
    const auto listed = store.watch("k/", 0, {1ms});
    REQUIRE(listed);
    REQUIRE(store.watch("k/", listed.value().revision, {1ms}));
    CHECK(it.asked.back().target == "/objects/k?Watch=530&WaitMs=1");
    era = 2;
    CHECK(store.watch("k/", listed.value().revision, {1ms}).error().code == "history_lost");
    const auto again = store.watch("k/", 0, {1ms});
    REQUIRE(again);
    CHECK(again.value().revision > listed.value().revision);
    CHECK(store.watch("k/", again.value().revision, {1ms}));
}

// Guards against a write whose revision names another state of the object since the store is back from a copy.
TEST_CASE("a version of an earlier era is no condition of a write") {
    fixture it;
    auto store = it.store();
    int era = 1;
    it.answer = [&era](const auto &) { return fixture::json_in_era(era, item); };
    const auto before = store.put("k/a", "{}", store::absent);
    REQUIRE(before);
    era = 2;
    // The era is not known yet, and the revision matches: the answer shows that it was another state.
    CHECK(store.put("k/a", "{}", before.value()).error().kind == base::error_kind::unknown_outcome);
    const auto n = it.asked.size();
    CHECK(store.put("k/a", "{}", before.value()).error().kind == base::error_kind::conflict);
    CHECK(store.erase("k/a", before.value()).error().kind == base::error_kind::conflict);
    CHECK(it.asked.size() == n);
    const auto found = store.get("k/a");
    REQUIRE(found);
    REQUIRE(found.value());
    CHECK(found.value()->version > before.value());
    CHECK(store.put("k/a", "{}", found.value()->version));
}

// Guards against state of before the store's return that arrives after it, and against lists that mix both.
TEST_CASE("late answers of an earlier era, and lists across a return, are not used") {
    fixture it;
    auto store = it.store();
    int era = 3;
    it.answer = [&era](const auto &) { return fixture::json_in_era(era, item); };
    REQUIRE(store.get("k/a"));
    era = 2;
    CHECK(store.get("k/a").error().kind == base::error_kind::unavailable);
    CHECK(store.put("k/a", "{}", store::absent).error().kind == base::error_kind::unknown_outcome);
    it.answer = [](const http::request &message) {
        const bool first = message.target.find("after") == std::string::npos;
        return fixture::json_in_era(first ? 3 : 4, R"({"items":[)" + item + R"(],"Truncated":)" +
                                                       (first ? "true" : "false") + R"(,"StoreRevision":530})");
    };
    CHECK(store.list("k/").error().kind == base::error_kind::unavailable);
}

// Guards against reports without holder or fencing token, and against a refusal that counts as success.
TEST_CASE("usage reports carry holder and fencing token") {
    fixture it;
    int status = 200;
    it.answer = [&status](const auto &) { return fixture::json(status, "{}"); };
    platform::http_duties duties{it.client, it.address, "front-1", 1s};
    CHECK(duties.report_usage(9, {{"o", 4}}, 12));
    const auto &asked = it.asked.back();
    CHECK(asked.target == "/usage");
    CHECK(http::find_field(asked.fields, "Duty-Holder") == "front-1");
    CHECK(http::find_field(asked.fields, "Fencing-Token") == "12");
    CHECK(nlohmann::json::parse(asked.body) == nlohmann::json::parse(R"({"WindowIndex":9,"Counts":{"o":4}})"));
    status = 409;
    CHECK(duties.report_usage(9, {}, 12).error().kind == base::error_kind::refused);
    status = 503;
    CHECK(duties.report_usage(9, {}, 12).error().kind == base::error_kind::unavailable);
}

// Guards against a store that is refused for good because some answers name no era, and against text that is half read.
TEST_CASE("answers without a readable era count as those of the newest one") {
    fixture it;
    auto store = it.store();
    std::string era = "7";
    it.answer = [&era](const auto &) {
        auto out = fixture::json(200, item);
        if (era != "none") {
            out.fields.push_back({"Store-Era", era});
        }
        return out;
    };
    const auto version = store.get("k/a").value()->version;
    CHECK(store.history() == 7);
    for (const auto *text : {"none", "", "8x", "-9", "99999999999", "1e3", " "}) {
        CAPTURE(text);
        era = text;
        const auto found = store.get("k/a");
        REQUIRE(found);
        CHECK(found.value()->version == version);
        CHECK(store.history() == 7);
    }
    era = "6";
    CHECK(store.get("k/a").error().code == "store_returned");
    era = "4000";
    CHECK(store.get("k/a").value()->version > version);
    CHECK(store.history() == 4000);
}

namespace {

/** An object as the store shows it, whatever text its writer has stored as value. */
std::string object_text(const std::string &name, int revision, const std::string &value) {
    return R"({"Metadata":{"Name":")" + name + R"(","Revision":)" + std::to_string(revision) +
           R"(,"CreatedRev":9,"Finalizers":[],"Deleting":false},"Spec":)" + value + R"(,"Status":null})";
}

std::string event_text(const std::string &object, bool deleted) {
    return std::string{R"({"Deleted":)"} + (deleted ? "true" : "false") + R"(,"Object":)" + object + "}";
}

std::string joined(const std::vector<std::string> &all) {
    std::string out;
    for (const auto &it : all) {
        out += (out.empty() ? "" : ",") + it;
    }
    return out;
}

/** Texts that cannot be read as JSON: numbers out of range, control characters, bytes, unbalanced ends. */
std::vector<std::string> unreadable_values() {
    return {R"({"Slots":1e999})",
            R"({"Slots":)" + std::string(400'000, '9') + "}",
            "{\"Zone\":\"a\x01z\"}",
            "{\"Zone\":\"a\xff\xfez\"}",
            "{Service: desk",
            "}}}",
            "]",
            R"("Service)",
            R"({"a":"b})",
            R"({"Metadata":{"Name":7)",
            ""};
}

} // namespace

// Guards against one unreadable value of another writer that makes a whole list unreadable, so that servers that leave
// go on getting requests (review/3, other forms).
TEST_CASE("a value that is not readable JSON costs only itself in a list") {
    fixture it;
    auto store = it.store();
    const auto sound = [](const std::string &name, int revision) {
        return object_text(name, revision, R"({"x":"é"})");
    };
    for (const auto &value : unreadable_values()) {
        CAPTURE(value.substr(0, 40));
        std::vector<std::string> texts{sound("a", 11), sound("c", 13), sound("e", 15)};
        for (std::size_t at = 0; at <= texts.size(); ++at) {
            CAPTURE(at);
            auto with_foreign = texts;
            with_foreign.insert(with_foreign.begin() + static_cast<std::ptrdiff_t>(at), object_text("p", 12, value));
            it.answer = [&](const auto &) {
                return fixture::json(200, R"({"items":[)" + joined(with_foreign) +
                                              R"(],"Truncated":false,"StoreRevision":531})");
            };
            const auto all = store.watch("k/", 0, {1ms});
            REQUIRE(all);
            CHECK(all.value().revision == 531);
            REQUIRE(all.value().events.size() == 4);
            for (std::size_t n = 0; n < all.value().events.size(); ++n) {
                const auto &item = all.value().events[n].item;
                CHECK(item.key == (n == at ? "k/p" : "k/" + std::string(1, "ace"[n < at ? n : n - 1])));
                CHECK(item.value == (n == at ? "null" : R"({"x":"é"})"));
            }
        }
    }
}

// Guards against the same in a watch, where the changes of other objects would be missed, and against a removal that is
// taken for a change.
TEST_CASE("a value that is not readable JSON costs only itself in a watch") {
    fixture it;
    auto store = it.store();
    for (const auto &value : unreadable_values()) {
        CAPTURE(value.substr(0, 40));
        for (const bool deleted : {false, true}) {
            it.answer = [&](const auto &) {
                return fixture::json(
                    200, R"({"events":[)" +
                             joined({event_text(object_text("p", 12, value), deleted), event_text(item, true),
                                     event_text(object_text("p", 14, value), deleted)}) +
                             R"(],"StoreRevision":533})");
            };
            const auto seen = store.watch("k/", 530, {20ms});
            REQUIRE(seen);
            CHECK(seen.value().revision == 533);
            REQUIRE(seen.value().events.size() == 3);
            CHECK(seen.value().events[0].deleted == deleted);
            CHECK(seen.value().events[0].item.version == 12);
            CHECK(seen.value().events[1].deleted);
            CHECK(seen.value().events[1].item.key == "k/a");
            CHECK(seen.value().events[2].deleted == deleted);
        }
    }
}

// Guards against a page that ends with an object without a readable name, which would end the list there.
TEST_CASE("a list goes on after a page whose last object has no readable name") {
    fixture it;
    auto store = it.store();
    const std::string nameless = R"({"Metadata":{"Name":7,"Revision":14},"Spec":{}})";
    it.answer = [&](const http::request &message) {
        const bool first = message.target.find("after") == std::string::npos;
        return fixture::json(200, R"({"items":[)" + (first ? item + "," + nameless : object_text("b", 13, "{}")) +
                                      R"(],"Truncated":)" + (first ? "true" : "false") + R"(,"StoreRevision":531})");
    };
    const auto all = store.list("k/");
    REQUIRE(all);
    CHECK(all.value().size() == 2);
    CHECK(it.asked.back().target == "/objects/k?after=a");
    // A page that names no object can't be continued from.
    it.answer = [&](const auto &) {
        return fixture::json(200, R"({"items":[)" + nameless + R"(],"Truncated":true,"StoreRevision":531})");
    };
    CHECK(store.list("k/").error().kind == base::error_kind::unavailable);
    CHECK(it.asked.size() < 10);
}

// Guards against an object that cannot be replaced or removed because its value cannot be read.
TEST_CASE("a single object with an unreadable value still has its version") {
    fixture it;
    auto store = it.store();
    for (const auto &value : unreadable_values()) {
        CAPTURE(value.substr(0, 40));
        it.answer = [&](const auto &) { return fixture::json(200, object_text("p", 12, value)); };
        const auto found = store.get("k/p");
        REQUIRE(found);
        REQUIRE(found.value());
        CHECK(found.value()->version == 12);
        CHECK(found.value()->value == "null");
        CHECK(store.put("k/p", "{}", 11).value() == 12);
    }
}

// Guards against reading all changes of a gap when the objects themselves are smaller.
TEST_CASE("a watch whose answer is over its limit fails as too long, and a list is not limited") {
    fixture it;
    auto store = it.store();
    const std::string text(4096, 'x');
    it.answer = [&text](const http::request &message) {
        const std::string object = R"({"Metadata":{"Name":"a","Revision":12},"Spec":")" + text + "\"}";
        return fixture::json(200,
                             message.query_value("Watch")
                                 ? R"({"events":[{"Deleted":false,"Object":)" + object + R"(}],"StoreRevision":13})"
                                 : R"({"items":[)" + object + R"(],"Truncated":false,"StoreRevision":13})");
    };
    const auto cut = store.watch("k/", 5, {1ms, 1024});
    REQUIRE_FALSE(cut);
    CHECK(cut.error().code == "answer_too_long");
    const auto listed = store.watch("k/", 0, {1ms, 1024});
    REQUIRE(listed);
    CHECK(listed.value().bytes > text.size());
    const auto seen = store.watch("k/", 5, {1ms});
    REQUIRE(seen);
    CHECK(seen.value().bytes > text.size());
}

// Guards against a long list that never ends because a lost page costs all pages before it.
TEST_CASE("a page of a list that gets no answer is asked for again") {
    int lost = 0;
    std::vector<std::string> asked;
    test::scripted_server server{[&](int, int, const std::string &text) {
        const auto target = text.substr(0, text.find(" HTTP"));
        asked.push_back(target);
        const bool first = target == "GET /objects/k";
        if (!first && lost-- > 0) {
            return test::scripted_answer{"", test::scripted_answer::then::close};
        }
        const std::string body = R"({"items":[{"Metadata":{"Name":")" + std::string{first ? "a" : "b"} +
                                 R"(","Revision":12},"Spec":1}],"Truncated":)" + (first ? "true" : "false") +
                                 R"(,"StoreRevision":13})";
        return test::scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                                     body};
    }};
    http::curl_client client;
    platform::object_store store{client, server.address()};
    lost = 2;
    const auto all = store.list("k/");
    REQUIRE(all);
    CHECK(all.value().size() == 2);
    CHECK(std::ranges::count(asked, "GET /objects/k") == 1);
    lost = 100;
    CHECK_FALSE(store.list("k/"));
}

#include "platform/object_reader.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "platform/http_protocol.hpp"
#include "platform/object_codec.hpp"

using namespace dotterelstack;

namespace {

constexpr int cases = 4000;
constexpr unsigned int seed = 20261205;

const std::string entry = R"({"Service":"desk","Address":"10.1.0.7:80","Zone":"rajkot","Version":"v1","Slots":6,)"
                          R"("State":"ready","ColdRemainingMs":12.5,"Sequence":3,"born":1700000000000})";

/** Changes a text as a faulty or malicious writer might: bytes, structure, repetition and nesting. */
class mutator {
public:
    explicit mutator(unsigned int with) : random_{with} {}

    std::string operator()(std::string text) {
        for (auto n = below(4) + 1; n > 0; --n) {
            const auto at = below(text.size() + 1);
            switch (below(6)) {
            case 0:
                text.insert(at, token());
                break;
            case 1:
                text.erase(at, below(8));
                break;
            case 2:
                text.insert(at, std::string(below(200), "[{"[below(2)]));
                break;
            case 3:
                text.insert(at, 1, static_cast<char>(below(256)));
                break;
            case 4:
                text.insert(at, text.substr(below(text.size() + 1), below(60)));
                break;
            default:
                text.replace(at, std::min<std::size_t>(3, text.size() - at), token());
                break;
            }
        }
        return text;
    }

    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : random_() % limit; }

private:
    std::string token() {
        static const std::vector<std::string> tokens{"\"",
                                                     "{",
                                                     "}",
                                                     "[",
                                                     "]",
                                                     ",",
                                                     ":",
                                                     "\\",
                                                     "1e999",
                                                     "-1",
                                                     "null",
                                                     "\\ud800",
                                                     "\xff",
                                                     "\x01",
                                                     R"("Spec":)",
                                                     R"("Name":7)",
                                                     R"("Deleted":true)",
                                                     "true",
                                                     "\r\n",
                                                     "]}",
                                                     "99999999999999999999"};
        return tokens[below(tokens.size())];
    }

    std::mt19937 random_;
};

std::string object_text(const std::string &name, int revision, const std::string &value) {
    return R"({"Metadata":{"Name":")" + name + R"(","Revision":)" + std::to_string(revision) + R"(},"Spec":)" + value +
           R"(,"Status":null})";
}

} // namespace

// Guards against any text of one writer that hides, changes or adds to the objects of others (review/3).
TEST_CASE("whatever one value is, the other objects of a list are read as they are") {
    mutator mutate{seed};
    const auto sound = nlohmann::json::parse(entry).dump();
    for (int n = 0; n < cases; ++n) {
        const auto value = mutate(entry);
        CAPTURE(value);
        const auto foreign = object_text("p", 12, value);
        std::vector<std::string> texts{object_text("a", 11, entry), object_text("b", 13, entry)};
        texts.insert(texts.begin() + static_cast<std::ptrdiff_t>(mutate.below(3)), foreign);
        const auto read = platform::read_list("k",
                                              R"({"items":[)" + texts[0] + "," + texts[1] + "," + texts[2] +
                                                  R"(],"Truncated":true,"StoreRevision":9})",
                                              "items");
        REQUIRE(read.store_revision == 9);
        REQUIRE(read.truncated);
        int found = 0;
        for (const auto &it : read.objects) {
            if (it.name != "p") {
                CHECK(it.value == sound);
                CHECK(it.revision == (it.name == "a" ? 11 : 13));
                ++found;
            }
        }
        CHECK(found == 2);
    }
}

// Guards against the same in changes, and against a removal that is missed or made up.
TEST_CASE("whatever one value is, the other changes are read as they are") {
    mutator mutate{seed + 1};
    for (int n = 0; n < cases; ++n) {
        const auto value = mutate(entry);
        CAPTURE(value);
        const bool removed = n % 2 == 0;
        const auto event = [](const std::string &object, bool deleted) {
            return std::string{R"({"Deleted":)"} + (deleted ? "true" : "false") + R"(,"Object":)" + object + "}";
        };
        const auto read = platform::read_list("k",
                                              R"({"events":[)" + event(object_text("a", 11, entry), true) + "," +
                                                  event(object_text("p", 12, value), removed) + "," +
                                                  event(object_text("b", 13, entry), false) + R"(],"StoreRevision":9})",
                                              "events");
        int found = 0;
        for (const auto &it : read.objects) {
            if (it.name == "p") {
                CHECK(it.deleted == removed);
            } else {
                CHECK(it.deleted == (it.name == "a"));
                ++found;
            }
        }
        CHECK(found == 2);
    }
}

// Guards against a message that ends the process: every reader answers or refuses.
TEST_CASE("readers of messages of other processes throw nothing but what they state") {
    mutator mutate{seed + 2};
    const platform::object_codec codec;
    const platform::http_protocol protocol;
    const std::string config =
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"safe","TimeoutMs":5000,)"
        R"("Service":"s","MaxAttempts":2}],"Services":[{"Name":"s","Engine":{"Slots":12,"KvHoldS":5.0}}],)"
        R"("Limits":{"MaxHeaderBytes":1000},"Tenants":[{"Name":"o","ApiKeys":["k1"],"Priority":1}]})";
    int readable = 0;
    for (int n = 0; n < cases; ++n) {
        readable += codec.decode_server("x", mutate(entry)) ? 1 : 0;
        readable += codec.decode_config(mutate(config)) ? 1 : 0;
        readable += protocol.decode_handle(mutate(R"({"KvHandle":"3fa09c41b7d5","Tokens":1460})")) ? 1 : 0;
        const http::field_list fields{{"Attempt-Id", "a1"},
                                      {"Instance-Load", mutate("3,0,8")},
                                      {"Server-Limit", mutate("4.7")},
                                      {"Retry-After", mutate("2")},
                                      {mutate("Not-Executed"), "1"}};
        (void)protocol.decode_head(mutate.below(2) == 0 ? 200 : 503, fields, "a1");
        const http::request request{"POST",
                                    mutate("/a/x?q=1"),
                                    {{"Host", "h"},
                                     {"Attempt-Id", "a1"},
                                     {"Token-Usage", mutate("300,11")},
                                     {"Prompt-Prefix", mutate("5c:100,9a:200")},
                                     {"Deadline-Ms", mutate("1500")},
                                     {"Last-Event-Id", mutate("3")}},
                                    ""};
        (void)protocol.decode_request(request).has_value();
    }
    // Some changes leave a message readable, and most do not.
    CHECK(readable > 0);
    CHECK(readable < 3 * cases);
}

// Guards against values that are read another way where brackets and quotes stand in strings.
TEST_CASE("only brackets outside strings nest a value") {
    const auto value_of = [](const std::string &spec) {
        return platform::read_object("k", R"({"Metadata":{"Name":"a","Revision":1},"Spec":)" + spec + "}").value;
    };
    const auto nested = [](int depth, const std::string &inner) {
        return std::string(static_cast<std::size_t>(depth), '[') + inner +
               std::string(static_cast<std::size_t>(depth), ']');
    };
    const std::string brackets = '"' + std::string(200, '[') + R"(\"\\)" + std::string(200, '{') + '"';
    CHECK(value_of(brackets) == brackets);
    CHECK(value_of(nested(60, brackets)) == nested(60, brackets));
    constexpr int too_deep = 80;
    CHECK(value_of(nested(too_deep, "1")).size() < nested(too_deep, "1").size());
    CHECK(value_of(nested(too_deep, brackets)).size() < nested(too_deep, "1").size());
}

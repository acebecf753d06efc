#include "gateway/request_traits.hpp"

#include <doctest/doctest.h>

using namespace dotterelstack;

namespace {

gateway::exchange_request request(std::string target, std::string body, std::string host = "site.example") {
    gateway::exchange_request out;
    out.facts.host = std::move(host);
    out.message = {"POST", std::move(target), {}, std::move(body)};
    return out;
}

} // namespace

// Guards against taking other work for the same request, and against seeing a repetition as other work.
TEST_CASE("the digest of a request depends on its organisation, host, method, target and body, and on nothing else") {
    const auto first = request("/read/1", "body");
    auto repeated = first;
    repeated.facts.id = "another";
    repeated.message.fields.push_back({"Deadline-Ms", "12"});
    CHECK(gateway::digest_of(repeated, "sangh") == gateway::digest_of(first, "sangh"));
    CHECK(gateway::digest_of(first, "ward") != gateway::digest_of(first, "sangh"));
    CHECK(gateway::digest_of(request("/read/2", "body"), "sangh") != gateway::digest_of(first, "sangh"));
    CHECK(gateway::digest_of(request("/read/1", "other"), "sangh") != gateway::digest_of(first, "sangh"));
    CHECK(gateway::digest_of(request("/read/1", "body", "b.example"), "sangh") != gateway::digest_of(first, "sangh"));
    auto get = first;
    get.message.method = "GET";
    CHECK(gateway::digest_of(get, "sangh") != gateway::digest_of(first, "sangh"));
}

// Guards against counting the part of a prompt that belongs to one request or session.
TEST_CASE("the traits of a request are the shared parts of its prompt and the request itself") {
    auto it = request("/draft/1", "body");
    CHECK(gateway::traits_of(it, "sangh").size() == 1);
    it.facts.prompt = {{7, 100}, {8, 100}, {9, 100}};
    const auto traits = gateway::traits_of(it, "sangh");
    REQUIRE(traits.size() == 3);
    CHECK(traits[0] == gateway::request_trait{gateway::trait_kind::prompt_part, 7});
    CHECK(traits[1] == gateway::request_trait{gateway::trait_kind::prompt_part, 8});
    CHECK(traits[2].kind == gateway::trait_kind::whole_request);
    CHECK(traits[2].id == gateway::digest_of(it, "sangh"));
}

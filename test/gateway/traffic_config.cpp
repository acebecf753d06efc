#include "gateway/traffic_config.hpp"

#include <doctest/doctest.h>

#include "gateway/fixture.hpp"

using namespace dotterelstack;

// Guards against matching the route of a shorter prefix or of another host.
TEST_CASE("the longest prefix of the host wins") {
    auto values = test::sample_values();
    values.routes.push_back(test::route("/draft/special/", gateway::work_kind::safe, "desk", 1));
    const gateway::traffic_config it{values};
    REQUIRE(it.find_route("site.example", "/draft/special/1") != nullptr);
    CHECK(it.find_route("site.example", "/draft/special/1")->kind == gateway::work_kind::safe);
    CHECK(it.find_route("Site.Example:8080", "/draft/1")->kind == gateway::work_kind::stream);
    CHECK(it.find_route("other.example", "/draft/1") == nullptr);
    CHECK(it.find_route("site.example", "/draft") == nullptr);
}

// Guards against accepting keys that belong to no organisation.
TEST_CASE("keys are mapped to their organisation") {
    const gateway::traffic_config it{test::sample_values()};
    REQUIRE(it.find_organisation("key-ward") != nullptr);
    CHECK(it.find_organisation("key-ward")->name == "ward");
    CHECK(it.find_organisation("") == nullptr);
    CHECK(it.needs_key());
    CHECK(it.find_service("desk") != nullptr);
    CHECK(it.find_service("none") == nullptr);
}

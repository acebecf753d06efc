#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>

#include "cli/run.hpp"
#include "config/fake_store.hpp"
#include "config/files.hpp"
#include "config/repository.hpp"
#include "config/sample.hpp"

namespace dotterelstack::test {

/** @brief Fake platform that serves only the host list. */
class fake_platform final : public http::client {
public:
    std::string hosts{R"({"hosts":[]})"};
    bool down{false};

    base::result<http::response> call(std::string_view, const http::request &message,
                                      const http::call_options &) override {
        if (down || message.target != "/v1/hosts") {
            return base::fail(base::error_kind::unavailable, "down", "platform is down");
        }
        return http::response{200, {}, hosts};
    }
    base::result<http::response> stream(std::string_view, const http::request &, const http::call_options &,
                                        const http::body_sink &) override {
        return base::fail(base::error_kind::internal, "unused", "not part of the fake");
    }
    base::result<http::response> call_checked(std::string_view, const http::request &, const http::call_options &,
                                              const http::final_check &) override {
        return base::fail(base::error_kind::internal, "unused", "not part of the fake");
    }
};

/** @brief Fake status source; entries without a body do not answer. */
class fake_entries final : public cli::entry_status_source {
public:
    std::map<std::string, nlohmann::json, std::less<>> bodies;

    base::result<std::string> read(std::string_view address) override {
        const auto it = bodies.find(address);
        if (it == bodies.end()) {
            return base::fail(base::error_kind::unavailable, "down", "no answer in time");
        }
        return it->second.dump();
    }
};

/** @brief Runs commands against fakes in a temporary directory. */
struct cli_fixture {
    fake_store store;
    fake_platform platform;
    fake_entries entries;
    base::manual_clock clock;
    std::function<void()> on_sleep{[] {}};
    std::string out;
    std::string err;
    std::filesystem::path root;

    cli_fixture() {
        base::id_source ids;
        root = std::filesystem::temp_directory_path() / ("dotterelstack-test-" + ids.next());
        std::filesystem::create_directories(root);
    }
    cli_fixture(const cli_fixture &) = delete;
    cli_fixture &operator=(const cli_fixture &) = delete;
    cli_fixture(cli_fixture &&) = delete;
    cli_fixture &operator=(cli_fixture &&) = delete;
    ~cli_fixture() {
        std::error_code ec;
        std::filesystem::remove_all(root, ec);
    }

    int run(const std::vector<std::string> &arguments, bool with_store = true) {
        std::vector<std::string_view> all{arguments.begin(), arguments.end()};
        if (with_store) {
            all.insert(all.end(), {"--store", "127.0.0.1:1", "--platform", "127.0.0.1:2"});
        }
        std::ostringstream out_text;
        std::ostringstream err_text;
        const int code = cli::run(all, {store, platform, entries, out_text, err_text, clock, [this](base::duration it) {
                                            clock.advance(it);
                                            on_sleep();
                                        }});
        out = out_text.str();
        err = err_text.str();
        return code;
    }

    [[nodiscard]] std::string path(const std::string &name) const { return (root / name).string(); }

    /** @brief Changes the values in a directory of declarations and keeps its base, as an edit by an operator does. */
    void edit(const std::string &directory, const std::function<void(config::declarations &)> &change) const {
        auto files = config::load_files(directory);
        REQUIRE(files);
        change(files.value().values);
        REQUIRE(config::save_files(directory, files.value().values, files.value().base));
    }

    /** @brief Writes the sample declarations to a directory and applies them as version 1, with one entry in the host
     * list. */
    std::string start(const std::string &name = "declarations") {
        const auto directory = path(name);
        REQUIRE(config::save_files(directory, sample_declarations(), {}));
        add_entry("127.0.0.1:11", "entry-1");
        REQUIRE_MESSAGE(run({"apply", directory, "--author", "alice"}) == 0, err);
        return directory;
    }

    /** @brief Adds an entry to the host list; it reports one engine in each of two failure domains. */
    void add_entry(const std::string &address, const std::string &name) {
        auto hosts = nlohmann::json::parse(platform.hosts);
        hosts["hosts"].push_back(
            {{"host", name}, {"role", "entry"}, {"address", address}, {"failure_domain", "a"}, {"state", "live"}});
        platform.hosts = hosts.dump();
        entries.bodies[address] = {{"entry", name},
                                   {"failure_domain", "a"},
                                   {"config_version", 1},
                                   {"config_age_ms", 5},
                                   {"backends",
                                    {{{"name", "e1"},
                                      {"host", "h1"},
                                      {"service", "drafting"},
                                      {"models", {"m1"}},
                                      {"failure_domain", "a"},
                                      {"used_blocks", 10},
                                      {"total_blocks", 100}},
                                     {{"name", "e2"},
                                      {"host", "h2"},
                                      {"service", "drafting"},
                                      {"models", {"m1"}},
                                      {"failure_domain", "b"},
                                      {"used_blocks", 10},
                                      {"total_blocks", 100}}}},
                                   {"rows", {{{"organisation", "north"}, {"service", "drafting"}, {"running", 3}}}}};
    }

    [[nodiscard]] config::state_ptr state() {
        base::id_source ids;
        config::repository repository{store, ids, config::default_repository_options()};
        return repository.read().value();
    }
};

[[nodiscard]] inline bool has(const std::string &text, std::string_view part) {
    return text.find(part) != std::string::npos;
}

} // namespace dotterelstack::test

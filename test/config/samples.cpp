#include <doctest/doctest.h>
#include <filesystem>
#include <regex>

#include "base/id.hpp"
#include "config/config_state.hpp"
#include "config/files.hpp"
#include "settings/agent_settings.hpp"
#include "settings/entry_settings.hpp"
#include "settings/file.hpp"

using namespace dotterelstack;

namespace {

std::filesystem::path samples() {
    return std::filesystem::path{__FILE__}.parent_path().parent_path().parent_path() / "samples";
}

} // namespace

// Guards against samples that the program does not accept.
TEST_CASE("the samples of both sites are valid") {
    for (const std::string site : {"gujarat", "litoral"}) {
        CAPTURE(site);
        const auto files = config::load_files((samples() / site / "declarations").string());
        REQUIRE_MESSAGE(files, files.error().message);
        CHECK(files.value().values.organisations.size() == 8);
        CHECK(files.value().values.rows.size() == 16);
        std::size_t engines = 0;
        for (const auto &it : std::filesystem::directory_iterator{samples() / site}) {
            const auto name = it.path().filename().string();
            if (name.starts_with("entry-")) {
                const auto got = settings::load_entry_settings(it.path().string());
                CHECK_MESSAGE(got, got.error().message);
            } else if (name.starts_with("agent-")) {
                const auto got = settings::load_agent_settings(it.path().string());
                REQUIRE_MESSAGE(got, got.error().message);
                engines += got.value().backends.size();
            }
        }
        CHECK(engines == 15);
    }
}

// Guards against sample keys in the README that do not work.
TEST_CASE("every sample key in the README belongs to its organisation") {
    const auto readme = settings::read_file((samples() / "README.md").string());
    REQUIRE(readme);
    const auto &text = readme.value();
    const std::regex line{R"(\| (\w+) \| ([\w-]+)( \(withdrawn\))? \| `(dsk_[\w-]+)` \|)"};
    std::size_t n = 0;
    for (auto it = std::sregex_iterator{text.begin(), text.end(), line}; it != std::sregex_iterator{}; ++it, ++n) {
        const auto files = config::load_files((samples() / (*it)[1].str() / "declarations").string());
        REQUIRE(files);
        const config::config_state state{1, "x", files.value().values, {}};
        const auto *key = state.find_active_key(base::sha256_hex((*it)[4].str()));
        CHECK((key != nullptr) == !(*it)[3].matched);
        CHECK((key == nullptr || key->organisation == (*it)[2].str()));
    }
    CHECK(n == 18);
}

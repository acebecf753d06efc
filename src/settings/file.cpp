#include "settings/file.hpp"

#include <fstream>
#include <sstream>

namespace dotterelstack::settings {

base::result<std::string> read_file(const std::string &path) {
    std::ifstream file{path, std::ios::binary};
    std::ostringstream buf;
    if (!file || !(buf << file.rdbuf() || file.peek() == std::ifstream::traits_type::eof())) {
        return base::fail(base::error_kind::not_found, "file_unreadable",
                          path + ": the file cannot be read; check its path and permissions");
    }
    return buf.str();
}

void apply_overrides(nlohmann::json &value, const std::vector<std::string> &overrides, problem_list &problems) {
    for (const auto &it : overrides) {
        const auto equals = it.find('=');
        if (equals == std::string::npos || equals == 0) {
            problems.add({"override", it, "path=value", "write for example store=127.0.0.1:4000"});
            continue;
        }
        auto *at = &value;
        std::istringstream path{it.substr(0, equals)};
        for (std::string name; at != nullptr && std::getline(path, name, '.');) {
            at = at->is_object() || at->is_null() ? &(*at)[name] : nullptr;
        }
        if (at == nullptr) {
            problems.add({"override", it, "a path of fields", "name a field that the file may contain"});
            continue;
        }
        const auto text = it.substr(equals + 1);
        auto parsed = nlohmann::json::parse(text, nullptr, false);
        *at = parsed.is_discarded() ? nlohmann::json(text) : std::move(parsed);
    }
}

} // namespace dotterelstack::settings

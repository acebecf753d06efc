#include "settings/file.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

namespace dotterelstack::settings {

namespace internal {

/** Returns a field of an object, which is created if absent, or an element of an array by its index; null otherwise. */
nlohmann::json *find_child(nlohmann::json &value, const std::string &name) {
    if (value.is_object() || value.is_null()) {
        return &value[name];
    }
    std::size_t n = 0;
    const auto got = std::from_chars(name.data(), name.data() + name.size(), n);
    const bool number = got.ec == std::errc{} && got.ptr == name.data() + name.size();
    return value.is_array() && number && n < value.size() ? &value[n] : nullptr;
}

} // namespace internal

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
        auto *target = &value;
        std::istringstream path{it.substr(0, equals)};
        for (std::string name; target != nullptr && std::getline(path, name, '.');) {
            target = internal::find_child(*target, name);
        }
        if (target == nullptr) {
            problems.add({"override", it, "a path of fields", "name a field that the file may contain"});
            continue;
        }
        const auto text = it.substr(equals + 1);
        auto parsed = nlohmann::json::parse(text, nullptr, false);
        *target = parsed.is_discarded() ? nlohmann::json(text) : std::move(parsed);
    }
}

} // namespace dotterelstack::settings

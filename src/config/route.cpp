#include "config/route.hpp"

#include <algorithm>

namespace dotterelstack::config {

bool path_matches(std::string_view pattern, std::string_view path) noexcept {
    while (!pattern.empty() && !path.empty()) {
        pattern.remove_prefix(1);
        path.remove_prefix(1);
        const auto wanted = pattern.substr(0, pattern.find('/'));
        const auto found = path.substr(0, path.find('/'));
        if (wanted == "**" && wanted.size() == pattern.size()) {
            return true;
        }
        if (wanted == "*" ? found.empty() : wanted != found) {
            return false;
        }
        pattern.remove_prefix(wanted.size());
        path.remove_prefix(found.size());
    }
    return pattern.empty() && path.empty();
}

const route *find_route(const service &value, std::string_view method, std::string_view path) noexcept {
    const auto it = std::find_if(value.routes.begin(), value.routes.end(), [method, path](const route &candidate) {
        return candidate.method == method && path_matches(candidate.path, path);
    });
    return it == value.routes.end() ? nullptr : &*it;
}

} // namespace dotterelstack::config

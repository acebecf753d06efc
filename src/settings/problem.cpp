#include "settings/problem.hpp"

namespace dotterelstack::settings {

base::error problem_list::to_error(std::string code) const {
    std::string out;
    for (const auto &it : items_) {
        if (!out.empty()) {
            out.push_back('\n');
        }
        out += file_ + ": " + it.location + ": expected " + it.expected;
        if (!it.found.empty()) {
            out += ", found " + it.found;
        }
        out += "; " + it.remedy;
    }
    return {base::error_kind::invalid_argument, std::move(code), std::move(out)};
}

} // namespace dotterelstack::settings

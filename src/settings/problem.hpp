#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"

namespace dotterelstack::settings {

/** @brief One invalid field or syntax error in a settings file. */
struct problem {
    std::string location; /**< Field path such as `listen.callers`, or `line 3 column 7`. */
    std::string found;    /**< Present value or a description of it; may be empty. */
    std::string expected;
    std::string remedy;
};

/** @brief Collects all problems of one file, so that an operator sees them at once. */
class problem_list {
public:
    /** @param file Name of the file, for messages. */
    explicit problem_list(std::string_view file) : file_{file} {}

    void add(problem value) { items_.push_back(std::move(value)); }

    [[nodiscard]] bool empty() const noexcept { return items_.empty(); }
    [[nodiscard]] const std::vector<problem> &items() const noexcept { return items_; }
    [[nodiscard]] const std::string &file() const noexcept { return file_; }

    /** @return `invalid_argument` error whose message has one line per problem. */
    [[nodiscard]] base::error to_error(std::string code) const;

private:
    std::string file_;
    std::vector<problem> items_;
};

} // namespace dotterelstack::settings

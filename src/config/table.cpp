#include "config/table.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <vector>

#include "config/item.hpp"
#include "settings/reader.hpp"

namespace dotterelstack::config {

namespace internal {

using settings::problem_list;

constexpr auto table_columns =
    std::to_array<std::string_view>({"organisation", "service", "weight", "concurrency", "requests_per_second",
                                     "prompt_tokens_per_second", "generated_tokens_per_second", "max_queue"});
constexpr std::size_t text_columns = 2;

struct record {
    std::size_t line{0};
    std::vector<std::string> fields;
};

std::string location_text(std::size_t line, std::size_t column, std::string_view name) {
    std::string out = "line " + std::to_string(line) + " column " + std::to_string(column + 1);
    return name.empty() ? out : out + " (" + std::string{name} + ")";
}

/** Splits a text into records and fields; a quoted field may hold separators and line feeds. */
class csv_splitter {
public:
    csv_splitter(std::string_view text, char separator, problem_list &problems)
        : rest_{text}, separator_{separator}, problems_{problems} {}

    std::optional<record> next() {
        while (!rest_.empty()) {
            record out{line_, {}};
            while (!read_field(out)) {
            }
            if (out.fields.size() > 1 || !out.fields.front().empty()) {
                return out;
            }
        }
        return std::nullopt;
    }

private:
    /** Reads one field. Returns true if it was the last field of the record. */
    bool read_field(record &out) {
        std::string field;
        if (rest_.starts_with('"')) {
            read_quoted(out, field);
        }
        const std::array<char, 3> ends{separator_, '\r', '\n'};
        const auto n = std::min(rest_.find_first_of(std::string_view{ends.data(), ends.size()}), rest_.size());
        field += rest_.substr(0, n);
        rest_.remove_prefix(n);
        out.fields.push_back(std::move(field));
        if (rest_.starts_with(separator_)) {
            rest_.remove_prefix(1);
            return false;
        }
        if (rest_.starts_with("\r\n")) {
            rest_.remove_prefix(1);
        }
        if (!rest_.empty()) {
            rest_.remove_prefix(1);
            ++line_;
        }
        return true;
    }

    void read_quoted(const record &out, std::string &field) {
        rest_.remove_prefix(1);
        while (!rest_.empty()) {
            const char it = rest_.front();
            rest_.remove_prefix(1);
            if (it == '"') {
                if (!rest_.starts_with('"')) {
                    return;
                }
                rest_.remove_prefix(1);
            }
            line_ += it == '\n' ? 1 : 0;
            field.push_back(it);
        }
        problems_.add({location_text(out.line, out.fields.size(), ""), "an unterminated quoted field",
                       "a closing quote", "add the quote, and double quotes inside the field"});
    }

    std::string_view rest_;
    char separator_;
    problem_list &problems_;
    std::size_t line_{1};
};

/** Position in the file of each column of `table_columns`. */
using column_order = std::array<std::size_t, table_columns.size()>;

std::string trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string{} : std::string{text.substr(first, last - first + 1)};
}

std::optional<column_order> read_header(const record &header, problem_list &problems) {
    constexpr std::size_t missing = ~std::size_t{0};
    column_order out{};
    out.fill(missing);
    bool ok = true;
    for (std::size_t it = 0; it < header.fields.size(); ++it) {
        const auto name = trimmed(header.fields[it]);
        const auto *const known = std::find(table_columns.begin(), table_columns.end(), name);
        if (known == table_columns.end() || out[static_cast<std::size_t>(known - table_columns.begin())] != missing) {
            problems.add({location_text(header.line, it, ""), "header \"" + name + "\"", "each known column once",
                          "remove the column or correct its name; `export` writes all columns"});
            ok = false;
        } else {
            out[static_cast<std::size_t>(known - table_columns.begin())] = it;
        }
    }
    for (std::size_t it = 0; it < out.size(); ++it) {
        if (out[it] == missing) {
            problems.add({"line " + std::to_string(header.line), "no column " + std::string{table_columns[it]},
                          "this column", "add the column with a value in each row"});
            ok = false;
        }
    }
    return ok ? std::optional{out} : std::nullopt;
}

nlohmann::json to_number(std::string text, bool decimal_comma) {
    if (decimal_comma) {
        std::replace(text.begin(), text.end(), ',', '.');
    }
    std::uint64_t whole = 0;
    const auto *const end = text.data() + text.size();
    if (const auto got = std::from_chars(text.data(), end, whole); got.ec == std::errc{} && got.ptr == end) {
        return whole;
    }
    double real = 0;
    if (const auto got = std::from_chars(text.data(), end, real); got.ec == std::errc{} && got.ptr == end) {
        return real;
    }
    return text;
}

nlohmann::json to_object(const record &from, const column_order &order, bool decimal_comma) {
    auto out = nlohmann::json::object();
    for (std::size_t it = 0; it < order.size(); ++it) {
        auto text = trimmed(from.fields[order[it]]);
        const std::string name{table_columns[it]};
        out[name] = it < text_columns ? nlohmann::json(std::move(text)) : to_number(std::move(text), decimal_comma);
    }
    return out;
}

/** Reads one record; problems of its fields are reported with line and column. */
std::optional<row> read_row(const record &from, const column_order &order, bool decimal_comma, problem_list &problems) {
    problem_list found{problems.file()};
    const auto value = to_object(from, order, decimal_comma);
    settings::object_reader in{value, "", found};
    row out;
    read(in, out);
    for (auto it : found.items()) {
        const auto *const column = std::find(table_columns.begin(), table_columns.end(), it.location);
        if (column != table_columns.end()) {
            const auto n = order[static_cast<std::size_t>(column - table_columns.begin())];
            it.location = location_text(from.line, n, it.location);
        }
        problems.add(std::move(it));
    }
    return found.empty() ? std::optional{std::move(out)} : std::nullopt;
}

std::string number_text(double value) {
    std::array<char, 32> buf{};
    const auto got = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), got.ptr};
}

} // namespace internal

std::map<row_name, row> parse_table(std::string_view text, settings::problem_list &problems) {
    constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
    if (text.starts_with(byte_order_mark)) {
        text.remove_prefix(byte_order_mark.size());
    }
    std::map<row_name, row> out;
    const auto first_line = text.substr(0, text.find('\n'));
    const bool decimal_comma = first_line.find(';') != std::string_view::npos;
    internal::csv_splitter splitter{text, decimal_comma ? ';' : ',', problems};
    const auto header = splitter.next();
    if (!header) {
        problems.add({"line 1", "an empty table", "a header line", "run `export` to write one"});
        return out;
    }
    const auto order = internal::read_header(*header, problems);
    std::map<row_name, std::size_t> lines;
    while (const auto it = order ? splitter.next() : std::nullopt) {
        if (it->fields.size() != header->fields.size()) {
            problems.add({"line " + std::to_string(it->line), std::to_string(it->fields.size()) + " fields",
                          std::to_string(header->fields.size()) + " as in the header",
                          "add or remove fields; put quotes around a field with a separator"});
            continue;
        }
        if (auto value = internal::read_row(*it, *order, decimal_comma, problems)) {
            const row_name name{value->organisation, value->service};
            const auto [other, added] = lines.emplace(name, it->line);
            if (added) {
                out.emplace(name, std::move(*value));
            } else {
                problems.add({"line " + std::to_string(it->line),
                              name.first + " and " + name.second + " as on line " + std::to_string(other->second),
                              "one row per organisation and service", "remove one of the two lines"});
            }
        }
    }
    return out;
}

std::string format_table(const std::map<row_name, row> &rows) {
    std::string out;
    for (const auto it : internal::table_columns) {
        out.append(out.empty() ? "" : ",").append(it);
    }
    out.push_back('\n');
    for (const auto &[name, it] : rows) {
        out += it.organisation + "," + it.service + "," + internal::number_text(it.weight) + "," +
               std::to_string(it.concurrency) + "," + internal::number_text(it.requests_per_second) + "," +
               internal::number_text(it.prompt_tokens_per_second) + "," +
               internal::number_text(it.generated_tokens_per_second) + "," + std::to_string(it.max_queue) + "\n";
    }
    return out;
}

} // namespace dotterelstack::config

#include "config/files.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "config/item.hpp"
#include "config/table.hpp"
#include "config/validation.hpp"
#include "settings/file.hpp"
#include "settings/reader.hpp"

namespace dotterelstack::config {

namespace internal {

using settings::problem_list;

constexpr auto declaration_names = std::to_array<std::string_view>(
    {file_names::organisations, file_names::services, file_names::keys, file_names::planned, file_names::table});

std::string path_of(const std::string &directory, std::string_view name) {
    return (std::filesystem::path{directory} / name).string();
}

std::string read_text(const std::string &directory, std::string_view name, problem_list &problems) {
    auto text = settings::read_file(path_of(directory, name));
    if (!text) {
        problems.add({"the file", "no such file or no access", "a readable file",
                      "run `export` into the directory, or write the file with an empty list"});
        return {};
    }
    return std::move(text).value();
}

/** Collects the problems of all files; each is reported with the path of its file. */
class problem_collector {
public:
    explicit problem_collector(const std::string &directory) : directory_{directory} {}

    template<typename Read>
    void read(std::string_view name, const Read &read) {
        problem_list problems{path_of(directory_, name)};
        const auto text = read_text(directory_, name, problems);
        if (problems.empty()) {
            read(text, problems);
        }
        add(problems);
    }

    void add(const problem_list &problems) {
        if (!problems.empty()) {
            message_.append(message_.empty() ? "" : "\n").append(problems.to_error("").message);
        }
    }

    [[nodiscard]] bool empty() const noexcept { return message_.empty(); }

    [[nodiscard]] base::error to_error() const {
        return {base::error_kind::invalid_argument, "declarations_invalid", message_};
    }

private:
    const std::string &directory_;
    std::string message_;
};

/** Reads an array of named objects into a map; `name` returns the key of an element. */
template<typename Map, typename Name>
void read_list(std::string_view text, problem_list &problems, Map &out, const Name &name) {
    const auto value = settings::parse_json(text, problems);
    if (value.is_discarded()) {
        return;
    }
    settings::read_array(value, problems, [&](settings::object_reader &in) {
        typename Map::mapped_type it;
        read(in, it);
        auto key = name(it);
        if (!key.empty() && out.contains(key)) {
            problems.add({in.path(), "\"" + key + "\" a second time", "each name once", "remove one of the two"});
        }
        out.insert_or_assign(std::move(key), std::move(it));
    });
}

bool is_digest(std::string_view text) noexcept {
    return !text.empty();
}

void read_base(std::string_view text, problem_list &problems, merge_base &out) {
    constexpr settings::text_rule rule{"a digest", "restore the file or run `export`", &is_digest};
    constexpr std::uint64_t any_version = ~std::uint64_t{0};
    const auto value = settings::parse_json(text, problems);
    if (value.is_discarded()) {
        return;
    }
    settings::object_reader in{value, "", problems};
    in.required("version", out.version, {0, any_version});
    in.required_object("items", [&](settings::object_reader &items) {
        for (const auto &it : value.at("items").items()) {
            items.required(it.key(), out.digests[it.key()], rule);
        }
    });
    in.finish();
}

base::result<void> write_text(const std::string &path, const std::string &text) {
    const auto temporary = path + ".new";
    {
        std::ofstream file{temporary, std::ios::binary | std::ios::trunc};
        file << text;
        file.close();
        if (!file) {
            return base::fail(base::error_kind::internal, "file_not_written",
                              path + ": the file cannot be written; check directory, permissions and space");
        }
    }
    std::error_code ec;
    std::filesystem::rename(temporary, path, ec);
    if (ec) {
        return base::fail(base::error_kind::internal, "file_not_written",
                          path + ": the file cannot be replaced (" + ec.message() + "); check its permissions");
    }
    return base::success();
}

/** Writes one element per line, so that diffs of version control show which elements changed. */
template<typename Map>
std::string format_list(const Map &values) {
    std::string out = "[";
    for (const auto &it : values) {
        out.append(out.size() == 1 ? "\n  " : ",\n  ").append(nlohmann::json(it.second).dump());
    }
    return out.append(values.empty() ? "]\n" : "\n]\n");
}

} // namespace internal

base::result<declaration_files> load_files(const std::string &directory) {
    using settings::problem_list;
    declaration_files out;
    internal::problem_collector files{directory};
    auto &values = out.values;
    files.read(file_names::organisations, [&values](std::string_view text, problem_list &problems) {
        internal::read_list(text, problems, values.organisations, [](const auto &it) { return it.name; });
    });
    files.read(file_names::services, [&values](std::string_view text, problem_list &problems) {
        internal::read_list(text, problems, values.services, [](const auto &it) { return it.name; });
    });
    files.read(file_names::keys, [&values](std::string_view text, problem_list &problems) {
        internal::read_list(text, problems, values.keys, [](const auto &it) { return it.id; });
    });
    files.read(file_names::planned, [&values](std::string_view text, problem_list &problems) {
        internal::read_list(text, problems, values.planned, [](const auto &it) { return it.id; });
    });
    files.read(file_names::table,
               [&values](std::string_view text, problem_list &problems) { values.rows = parse_table(text, problems); });
    if (std::filesystem::exists(internal::path_of(directory, file_names::base))) {
        files.read(file_names::base, [&out](std::string_view text, problem_list &problems) {
            internal::read_base(text, problems, out.base);
        });
    }
    if (files.empty()) {
        problem_list problems{directory};
        validate(values, problems);
        files.add(problems);
    }
    if (!files.empty()) {
        return boost::outcome_v2::failure(files.to_error());
    }
    return out;
}

base::result<void> save_files(const std::string &directory, const declarations &values, const merge_base &base) {
    std::error_code ec;
    std::filesystem::create_directories(directory, ec);
    const std::array<std::string, internal::declaration_names.size()> texts{
        internal::format_list(values.organisations), internal::format_list(values.services),
        internal::format_list(values.keys), internal::format_list(values.planned), format_table(values.rows)};
    for (std::size_t it = 0; it < texts.size(); ++it) {
        BOOST_OUTCOME_TRYV(
            internal::write_text(internal::path_of(directory, internal::declaration_names[it]), texts[it]));
    }
    return save_base(directory, base);
}

base::result<void> save_base(const std::string &directory, const merge_base &base) {
    const nlohmann::json value{{"version", base.version}, {"items", base.digests}};
    return internal::write_text(internal::path_of(directory, file_names::base), value.dump(1) + "\n");
}

bool has_no_files(const std::string &directory) {
    return std::none_of(internal::declaration_names.begin(), internal::declaration_names.end(),
                        [&](const auto name) { return std::filesystem::exists(internal::path_of(directory, name)); });
}

} // namespace dotterelstack::config

#include "config/item.hpp"

#include <algorithm>
#include <array>

#include "base/id.hpp"

namespace dotterelstack::config {

namespace internal {

using json = nlohmann::json;
using settings::object_reader;
using settings::text_rule;

constexpr std::size_t digest_digits = 16;
constexpr std::size_t text_limit = 500;
constexpr double rate_limit = 1e9;
constexpr std::uint64_t count_limit = 1'000'000;

constexpr auto service_kinds = std::to_array<std::string_view>({"model", "plain"});
constexpr auto key_places = std::to_array<std::string_view>({"header", "query", "cookie", "body"});
constexpr auto planned_kinds = std::to_array<std::string_view>({"drain", "set_role", "replace"});
constexpr auto planned_states =
    std::to_array<std::string_view>({"requested", "running", "done", "failed", "cancelled"});

template<typename Enum, typename Names>
void read_enum(object_reader &in, std::string_view name, Enum &out, const Names &names) {
    out = static_cast<Enum>(in.required_choice(name, {names.begin(), names.end()}));
}

bool is_sha256(std::string_view text) noexcept {
    return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char it) {
               return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
           });
}

bool is_method(std::string_view text) noexcept {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char it) { return it >= 'A' && it <= 'Z'; });
}

bool is_pattern(std::string_view text) noexcept {
    return text.starts_with('/') && text.find_first_of(" ?#") == std::string_view::npos;
}

bool is_description(std::string_view text) noexcept {
    return text.size() <= text_limit &&
           std::none_of(text.begin(), text.end(), [](char it) { return static_cast<unsigned char>(it) < ' '; });
}

bool is_field_name(std::string_view text) noexcept {
    return !text.empty() && text.size() <= 100 &&
           std::all_of(text.begin(), text.end(), [](char it) { return it > ' ' && it < 127 && it != '"'; });
}

bool is_name_or_empty(std::string_view text) noexcept {
    return text.empty() || settings::is_name(text);
}

constexpr text_rule sha256_rule{"64 lower-case hexadecimal digits", "use the hash that `key create` prints",
                                &is_sha256};
constexpr text_rule method_rule{"a method such as GET", "write it in capital letters", &is_method};
constexpr text_rule pattern_rule{"a path that begins with '/'", "write a path without query", &is_pattern};
constexpr text_rule description_rule{"a text of at most 500 characters on one line", "shorten it", &is_description};
constexpr text_rule field_rule{"the name of a header, parameter, cookie or body field", "correct the name",
                               &is_field_name};
constexpr text_rule name_or_empty_rule{"a name or an empty text", "correct the name", &is_name_or_empty};

json to_value(const route &it) {
    return {{"method", it.method}, {"path", it.path}, {"repeatable", it.repeatable}, {"public", it.is_public}};
}

json to_value(const key_location &it) {
    return {{"in", to_text(it.place)}, {"name", it.name}};
}

template<typename Type>
json to_array(const std::vector<Type> &values) {
    json out = json::array();
    std::transform(values.begin(), values.end(), std::back_inserter(out), [](const auto &it) { return to_value(it); });
    return out;
}

void read_route(object_reader &in, service &out) {
    route it;
    in.required("method", it.method, method_rule);
    in.required("path", it.path, pattern_rule);
    in.optional("repeatable", it.repeatable);
    in.optional("public", it.is_public);
    out.routes.push_back(std::move(it));
}

void read_location(object_reader &in, service &out) {
    key_location it;
    read_enum(in, "in", it.place, key_places);
    in.required("name", it.name, field_rule);
    out.key_locations.push_back(std::move(it));
}

template<typename Map>
void add_items(item_map &out, const Map &values) {
    for (const auto &[name, value] : values) {
        out.emplace(item_name(value), json(value));
    }
}

template<typename Map, typename Key>
json find_value(const Map &values, const Key &name) {
    const auto it = values.find(name);
    return it == values.end() ? json() : json(it->second);
}

template<typename Map, typename Key>
base::result<void> set_value(Map &target, const Key &name, std::string_view item, const json &value) {
    if (value.is_null()) {
        if (const auto it = target.find(name); it != target.end()) {
            target.erase(it);
        }
        return base::success();
    }
    settings::problem_list problems{item};
    object_reader in{value, "", problems};
    typename Map::mapped_type parsed;
    read(in, parsed);
    in.finish();
    if (problems.empty() && item_name(parsed) != item) {
        problems.add({"name", "\"" + item_name(parsed) + "\"", "the name of the item", "correct the name"});
    }
    if (!problems.empty()) {
        return boost::outcome_v2::failure(problems.to_error("item_invalid"));
    }
    target.insert_or_assign(name, std::move(parsed));
    return base::success();
}

/** Kind and key of an item name; the key of a row has two parts. */
struct item_parts {
    std::string_view kind;
    std::string first;
    std::string second;
};

item_parts split(std::string_view item) {
    const auto slash = item.find('/');
    item_parts out{item.substr(0, slash), {}, {}};
    if (slash == std::string_view::npos) {
        return out;
    }
    const auto rest = item.substr(slash + 1);
    const auto second = rest.find('/');
    out.first = rest.substr(0, second);
    if (second != std::string_view::npos) {
        out.second = rest.substr(second + 1);
    }
    return out;
}

template<typename Declarations, typename Visitor>
auto visit_kind(Declarations &value, std::string_view item, const Visitor &visitor)
    -> decltype(visitor(value.organisations, std::string{})) {
    auto parts = split(item);
    if (parts.kind == "organisation") {
        return visitor(value.organisations, parts.first);
    }
    if (parts.kind == "key") {
        return visitor(value.keys, parts.first);
    }
    if (parts.kind == "service") {
        return visitor(value.services, parts.first);
    }
    if (parts.kind == "row") {
        return visitor(value.rows, row_name{parts.first, parts.second});
    }
    return visitor(value.planned, parts.first);
}

} // namespace internal

std::string item_name(const organisation &value) {
    return "organisation/" + value.name;
}

std::string item_name(const key &value) {
    return "key/" + value.id;
}

std::string item_name(const service &value) {
    return "service/" + value.name;
}

std::string item_name(const row &value) {
    return "row/" + value.organisation + "/" + value.service;
}

std::string item_name(const planned_change &value) {
    return "planned/" + value.id;
}

std::string_view to_text(planned_kind value) noexcept {
    return internal::planned_kinds[static_cast<std::size_t>(value)];
}

std::string_view to_text(planned_state value) noexcept {
    return internal::planned_states[static_cast<std::size_t>(value)];
}

std::string_view to_text(key_place value) noexcept {
    return internal::key_places[static_cast<std::size_t>(value)];
}

void to_json(nlohmann::json &out, const organisation &value) {
    out = {{"name", value.name}, {"description", value.description}};
}

void to_json(nlohmann::json &out, const key &value) {
    out = {{"id", value.id},
           {"organisation", value.organisation},
           {"sha256", value.sha256},
           {"withdrawn", value.withdrawn}};
}

void to_json(nlohmann::json &out, const service &value) {
    out = {{"name", value.name},
           {"kind", internal::service_kinds[static_cast<std::size_t>(value.kind)]},
           {"models", value.models},
           {"public", value.is_public},
           {"routes", internal::to_array(value.routes)},
           {"key_locations", internal::to_array(value.key_locations)}};
}

void to_json(nlohmann::json &out, const row &value) {
    out = {{"organisation", value.organisation},
           {"service", value.service},
           {"weight", value.weight},
           {"concurrency", value.concurrency},
           {"requests_per_second", value.requests_per_second},
           {"prompt_tokens_per_second", value.prompt_tokens_per_second},
           {"generated_tokens_per_second", value.generated_tokens_per_second},
           {"max_queue", value.max_queue}};
}

void to_json(nlohmann::json &out, const planned_change &value) {
    out = {{"id", value.id},
           {"kind", to_text(value.kind)},
           {"backend", value.backend},
           {"host", value.host},
           {"failure_domain", value.failure_domain},
           {"argument", value.argument},
           {"requested_by", value.requested_by},
           {"state", to_text(value.state)},
           {"progress", value.progress}};
}

void read(settings::object_reader &in, organisation &out) {
    in.required("name", out.name, settings::rules::name);
    in.optional("description", out.description, internal::description_rule);
}

void read(settings::object_reader &in, key &out) {
    in.required("id", out.id, settings::rules::name);
    in.required("organisation", out.organisation, settings::rules::name);
    in.required("sha256", out.sha256, internal::sha256_rule);
    in.optional("withdrawn", out.withdrawn);
}

void read(settings::object_reader &in, service &out) {
    in.required("name", out.name, settings::rules::name);
    internal::read_enum(in, "kind", out.kind, internal::service_kinds);
    in.optional("models", out.models, settings::rules::name);
    in.optional("public", out.is_public);
    in.optional_list("routes", [&out](auto &it) { internal::read_route(it, out); });
    in.optional_list("key_locations", [&out](auto &it) { internal::read_location(it, out); });
}

void read(settings::object_reader &in, row &out) {
    in.required("organisation", out.organisation, settings::rules::name);
    in.required("service", out.service, settings::rules::name);
    in.required("weight", out.weight, {0.001, 1000});
    in.required("concurrency", out.concurrency, {1, internal::count_limit});
    in.required("requests_per_second", out.requests_per_second, {0.001, internal::rate_limit});
    in.required("prompt_tokens_per_second", out.prompt_tokens_per_second, {0, internal::rate_limit});
    in.required("generated_tokens_per_second", out.generated_tokens_per_second, {0, internal::rate_limit});
    in.required("max_queue", out.max_queue, {0, internal::count_limit});
}

void read(settings::object_reader &in, planned_change &out) {
    in.required("id", out.id, settings::rules::name);
    internal::read_enum(in, "kind", out.kind, internal::planned_kinds);
    in.optional("backend", out.backend, internal::name_or_empty_rule);
    in.optional("host", out.host, internal::name_or_empty_rule);
    in.optional("failure_domain", out.failure_domain, internal::name_or_empty_rule);
    in.optional("argument", out.argument, internal::name_or_empty_rule);
    in.required("requested_by", out.requested_by, internal::description_rule);
    internal::read_enum(in, "state", out.state, internal::planned_states);
    in.optional("progress", out.progress, internal::description_rule);
}

item_map to_items(const declarations &value) {
    item_map out;
    internal::add_items(out, value.organisations);
    internal::add_items(out, value.keys);
    internal::add_items(out, value.services);
    internal::add_items(out, value.rows);
    internal::add_items(out, value.planned);
    return out;
}

nlohmann::json find_item(const declarations &value, std::string_view item) {
    return internal::visit_kind(
        value, item, [](const auto &values, const auto &name) { return internal::find_value(values, name); });
}

base::result<void> set_item(declarations &target, std::string_view item, const nlohmann::json &value) {
    return internal::visit_kind(target, item, [item, &value](auto &values, const auto &name) {
        return internal::set_value(values, name, item, value);
    });
}

std::string item_digest(const nlohmann::json &value) {
    return base::sha256_hex(value.dump()).substr(0, internal::digest_digits);
}

} // namespace dotterelstack::config

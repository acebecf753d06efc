#include "order/order.hpp"

#include <array>

#include "store/settled_write.hpp"

namespace dotterelstack::order {

namespace internal {

constexpr std::array<std::string_view, 3> state_names{"intended", "sent", "settled"};

} // namespace internal

std::string journal_key(std::string_view backend) {
    return "order/" + std::string{backend};
}

nlohmann::json to_json(const journal_entry &entry) {
    return {{"order_id", entry.item.id},
            {"backend", entry.item.backend},
            {"kind", entry.item.kind},
            {"argument", entry.item.argument},
            {"origin", entry.item.origin},
            {"fence", entry.fence},
            {"state", internal::state_names[static_cast<std::size_t>(entry.state)]},
            {"failed", entry.failed}};
}

base::result<journal_entry> parse_entry(const store::object &item) {
    BOOST_OUTCOME_TRY(value, store::parse_value(item));
    try {
        journal_entry out;
        out.item = {value.at("order_id").get<std::string>(), value.at("backend").get<std::string>(),
                    value.at("kind").get<std::string>(), value.at("argument").get<std::string>(),
                    value.at("origin").get<std::string>()};
        out.fence = value.at("fence").get<std::uint64_t>();
        const auto state = value.at("state").get<std::string>();
        out.state = state == internal::state_names[2]   ? entry_state::settled
                    : state == internal::state_names[1] ? entry_state::sent
                                                        : entry_state::intended;
        out.failed = value.at("failed").get<bool>();
        return out;
    } catch (const nlohmann::json::exception &ec) {
        return base::fail(base::error_kind::internal, "bad_journal",
                          item.key + " is no order journal (" + ec.what() + "); repair it before further orders");
    }
}

} // namespace dotterelstack::order

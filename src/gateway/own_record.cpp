#include "gateway/own_record.hpp"

#include "store/settled_write.hpp"

namespace dotterelstack::gateway {

own_record::own_record(store::object_store &store, base::id_source &ids, std::string key)
    : store_{store}, ids_{ids}, key_{std::move(key)} {}

void own_record::find_version() {
    // Nobody else writes the object, so it is either an earlier write of ours or was erased.
    if (const auto found = store_.get(key_)) {
        version_ = found.value() ? found.value()->version : store::absent;
    }
}

base::result<void> own_record::write(const nlohmann::json &value) {
    const auto written = store::settled_write(store_, ids_, key_, value, version_);
    if (!written) {
        find_version();
        return boost::outcome_v2::failure(written.error());
    }
    version_ = written.value();
    return base::success();
}

base::result<void> own_record::erase() {
    if (version_ == store::absent) {
        return base::success();
    }
    const auto done = store_.erase(key_, version_);
    if (!done) {
        find_version();
        return version_ == store::absent ? base::result<void>{base::success()} : done;
    }
    version_ = store::absent;
    return base::success();
}

} // namespace dotterelstack::gateway

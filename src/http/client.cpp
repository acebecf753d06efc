#include "http/client.hpp"

#include <mutex>
#include <vector>

#include "http/curl_transfer.hpp"

namespace dotterelstack::http {

struct curl_client::pool {
    std::mutex mutex;
    std::vector<internal::easy_ptr> idle;

    internal::easy_ptr take() {
        const std::scoped_lock lock{mutex};
        if (idle.empty()) {
            return {curl_easy_init(), &curl_easy_cleanup};
        }
        auto handle = std::move(idle.back());
        idle.pop_back();
        return handle;
    }

    void give_back(internal::easy_ptr handle) {
        const std::scoped_lock lock{mutex};
        idle.push_back(std::move(handle));
    }

    base::result<response> run(internal::transfer &it, std::string_view address, const call_options &options) {
        auto handle = take();
        internal::prepare(handle.get(), it, address, options);
        auto answer = internal::conclude(curl_easy_perform(handle.get()), it, address);
        if (answer) {
            give_back(std::move(handle));
        }
        return answer;
    }
};

curl_client::curl_client() {
    internal::ensure_curl();
    pool_ = std::make_unique<pool>();
}

curl_client::~curl_client() = default;

base::result<response> curl_client::call(std::string_view address, const request &message,
                                         const call_options &options) {
    internal::transfer it{message};
    return pool_->run(it, address, options);
}

base::result<response> curl_client::stream(std::string_view address, const request &message,
                                           const call_options &options, const body_sink &sink) {
    internal::transfer it{message};
    it.sink = &sink;
    return pool_->run(it, address, options);
}

base::result<response> curl_client::call_checked(std::string_view address, const request &message,
                                                 const call_options &options, const final_check &check) {
    internal::transfer it{message};
    it.check = &check;
    return pool_->run(it, address, options);
}

} // namespace dotterelstack::http

#include <LibRouting/RetryBudget.h>

#include <algorithm>

namespace Dogwoodkeel
{

RetryBudget::RetryBudget(const Clock &clock, Options options) : clock(clock), options(options)
{
}

RetryBudget::Bucket &RetryBudget::refilled(std::unordered_map<std::string, Bucket> &buckets, const std::string &key)
{
    if (buckets.size() >= this->options.buckets && !buckets.contains(key)) {
        buckets.clear();
    }
    const SteadyTime now = this->clock.now();
    Bucket &bucket = buckets.try_emplace(key, Bucket{this->options.burst, now}).first->second;
    const std::chrono::duration<double> passed = now - bucket.at;
    bucket.level = std::min(this->options.burst, bucket.level + passed.count() * this->options.perSecond);
    bucket.at = now;
    return bucket;
}

void RetryBudget::setOptions(const Options &options)
{
    this->options = options;
}

void RetryBudget::recordSuccess(const WorkspaceName &tenant, const EndpointName &endpoint)
{
    for (Bucket *const bucket :
         {&this->refilled(this->tenants, tenant.value()), &this->refilled(this->endpoints, endpoint.value())}) {
        bucket->level = std::min(this->options.burst, bucket->level + this->options.perSuccess);
    }
}

bool RetryBudget::tryConsume(const WorkspaceName &tenant, const EndpointName &endpoint)
{
    Bucket &ofTenant = this->refilled(this->tenants, tenant.value());
    Bucket &ofEndpoint = this->refilled(this->endpoints, endpoint.value());
    if (ofTenant.level < 1 || ofEndpoint.level < 1) {
        return false;
    }
    --ofTenant.level;
    --ofEndpoint.level;
    return true;
}

} // namespace Dogwoodkeel

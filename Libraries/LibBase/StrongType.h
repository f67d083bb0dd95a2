#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace Dogwoodkeel
{

/**
 * A value whose type differs from all others of the same representation, so that they cannot be mixed up.
 * @tparam Tag names the type
 * @tparam Representation type of the stored value
 */
template <typename Tag, typename Representation>
class StrongType
{
public:
    constexpr StrongType() = default;

    constexpr explicit StrongType(Representation value) : content(std::move(value))
    {
    }

    constexpr const Representation &value() const
    {
        return this->content;
    }

    auto operator<=>(const StrongType &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->content);
    }

private:
    Representation content{};
};

} // namespace Dogwoodkeel

template <typename Tag, typename Representation>
struct std::hash<Dogwoodkeel::StrongType<Tag, Representation>>
{
    std::size_t operator()(const Dogwoodkeel::StrongType<Tag, Representation> &key) const noexcept
    {
        return std::hash<Representation>()(key.value());
    }
};

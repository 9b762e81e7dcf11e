#include "placement.h"

namespace turmericline {

namespace {

class StaticPlacer : public Placer
{
public:
    using Placer::Placer;

protected:
    void decide(std::span<const ExpertLoads> /*layers*/, bool /*held*/) override
    {
    }
};

} // namespace

std::unique_ptr<Placer> makeStaticPlacer(const PlacementShape &shape, std::size_t layers)
{
    return std::make_unique<StaticPlacer>(shape, layers);
}

} // namespace turmericline

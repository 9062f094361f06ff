#include "admission/UnlimitedAdmission.h"

namespace cuminrelay {

Admission UnlimitedAdmission::admit(std::span<const Endpoint> /*candidates*/, const BackendBoard& /*board*/,
    std::size_t /*ownerCount*/, Instant /*now*/)
{
    return Admission::Admitted;
}

} // namespace cuminrelay

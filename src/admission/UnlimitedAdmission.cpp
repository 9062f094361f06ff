#include "admission/UnlimitedAdmission.h"

namespace cuminrelay {

Admission UnlimitedAdmission::admit(std::span<const Endpoint> /*candidates*/,
    const BackendStatusTable& /*backendStatuses*/, std::size_t /*ownerCount*/, Instant /*now*/)
{
    return Admission::Admitted;
}

} // namespace cuminrelay

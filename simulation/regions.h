// A deployment in two regions: the profile's own one and a copy of it beside it, each with the databases,
// proxies and control nodes of the profile. Each region owns one of the profile's two databases.
#pragma once

#include "simulation/deployment.h"

namespace cairnhollow::simulation {

inline const DomainName kNorth{"north"};
inline const DomainName kSouth{"south"};

/// Each region is a domain, with three control voters of its own.
void make_two_domains(Deployment& deployment);
/// One configuration log over both regions: the voters are north's, south's control nodes are learners.
void make_one_domain(Deployment& deployment);

/// Whether the machine's zone lies in the southern region.
bool is_south(const ZoneName& zone);
/// The databases of the profile that north and south own.
DatabaseName database_of(const DomainName& region, standins::callers::Profile profile);

}  // namespace cairnhollow::simulation

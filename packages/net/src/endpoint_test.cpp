// Addresses are taken as a whole or not at all.
#include "citrongap/net/endpoint.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

BOOST_AUTO_TEST_CASE(endpoint_is_read_back_from_its_text) {
  const Endpoint at{"10.1.0.19", 8526};
  BOOST_TEST((parseEndpoint(at.str()) == at));
}

BOOST_AUTO_TEST_CASE(malformed_endpoints_are_refused) {
  for (const char *text :
       {"", "10.1.0.19", "10.1.0.19:", "10.1.0.19:0", "10.1.0.19:65536",
        "10.1.0.19:80x", "host:80", ":80", "10.1.0:80"})
    BOOST_TEST(!parseEndpoint(text).has_value(), text);
}

// Entry point of every Boost.Test program; compiled once per build.
#define BOOST_TEST_MODULE citrongap
#include <boost/test/included/unit_test.hpp>

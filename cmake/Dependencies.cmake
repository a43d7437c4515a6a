# The Debian packages that the workspace builds with; .ci/install names them.
find_package(PkgConfig REQUIRED)
pkg_check_modules(SIGCPP REQUIRED IMPORTED_TARGET sigc++-3.0)
pkg_check_modules(EVENT REQUIRED IMPORTED_TARGET libevent_core libevent_extra)
pkg_check_modules(FMT REQUIRED IMPORTED_TARGET fmt)
pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_package(Boost 1.74 REQUIRED)

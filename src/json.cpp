// Compiles the implementation of Boost.JSON, once for all programs.
#include <boost/json/src.hpp>

// Boost.JSON's bodies, compiled once.
#include <boost/json/src.hpp>

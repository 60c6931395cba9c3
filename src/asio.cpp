// Asio's own bodies, compiled here and nowhere else.
#include <boost/asio/impl/src.hpp>

// Compiles Asio once for the whole program, see BOOST_ASIO_SEPARATE_COMPILATION.
#include <boost/asio/impl/src.hpp>

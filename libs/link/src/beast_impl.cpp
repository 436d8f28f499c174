// Compiles Beast once for the whole program, see BOOST_BEAST_SEPARATE_COMPILATION.
#include <boost/beast/src.hpp>

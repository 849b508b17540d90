// The one translation unit with the bodies of Boost.Asio and Boost.Beast.

#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>

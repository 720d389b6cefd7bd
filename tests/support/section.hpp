#pragma once
/// \file
/// Nested sections for CppUnit tests: a failure names the path to it.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

namespace support
{

/// Runs one part of a test's story; a failure within gets its title.
///
/// \code
/// section("a ticket with an old number", [&] {
///     section("is refused", [&] { CPPUNIT_ASSERT(!v.accepted); });
/// });
/// \endcode
inline void section(std::string const& title, std::function<void()> const& body)
{
    try
    {
        body();
    }
    catch (CppUnit::Exception const& e)
    {
        CppUnit::Exception named = e;
        named.setMessage(
            CppUnit::Message(title + " > " + e.message().shortDescription(),
                             e.message().details()));
        throw named;
    }
    catch (std::exception const& e)
    {
        throw CppUnit::Exception(CppUnit::Message(title, e.what()));
    }
}

/// Checks a condition and says what was expected.
inline void expect(bool condition, std::string const& what)
{
    CPPUNIT_ASSERT_MESSAGE(what, condition);
}

} // namespace support

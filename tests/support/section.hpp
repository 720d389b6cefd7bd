#pragma once
/// \file
/// Nested sections for CppUnit tests. The message of a failure contains the
/// titles of the sections around it.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

namespace support
{

/// Runs a part of a test and adds its title to the message of a failure.
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

/// Asserts a condition; `what` describes the expectation in the message.
inline void expect(bool condition, std::string const& what)
{
    CPPUNIT_ASSERT_MESSAGE(what, condition);
}

} // namespace support

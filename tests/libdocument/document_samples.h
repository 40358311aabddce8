#pragma once

#include "libdocument/document.h"

#include <rapidcheck.h>
#include <string>

namespace chivevane::test {

/// A valid document with comments, in which every field is used.
std::string commented_document();

/// Any valid document.
rc::Gen<document> any_document();

} // namespace chivevane::test

#pragma once

#include "libdocument/document.h"

#include <rapidcheck.h>
#include <string>

namespace chivevane::test {

/// Returns a valid document with comments, quoted scalars, and lists in block and flow style.
std::string commented_document();

/// Generates arbitrary valid documents.
rc::Gen<document> any_document();

} // namespace chivevane::test

#include "libbase/read_file.h"

#include <fstream>
#include <sstream>

namespace chivevane {

result<std::string> read_file(const std::string& path)
{
    std::ifstream stream{path, std::ios::binary};
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream) {
        return error{error_kind::not_found, "The file " + path + " cannot be read.",
                     "Check the path and the permissions."};
    }
    return std::move(text).str();
}

} // namespace chivevane

#include "jujubereach/base/base64.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/MemoryStream.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace jujubereach {

std::string toBase64(const std::string& bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string fromBase64(std::string_view text)
{
    Poco::MemoryInputStream in(text.data(), static_cast<std::streamsize>(text.size()));
    Poco::Base64Decoder decoder(in);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

} // namespace jujubereach

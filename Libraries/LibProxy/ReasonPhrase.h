#pragma once

namespace Dogwoodkeel
{

/** @return the reason phrase of a status code (RFC 9110, section 15). */
const char *reasonPhrase(int status);

} // namespace Dogwoodkeel

/** What all stand-ins share: the server, the announcement, settings and codecs. */
@NullMarked
package io.hawthornlb.standin.support;

import org.jspecify.annotations.NullMarked;

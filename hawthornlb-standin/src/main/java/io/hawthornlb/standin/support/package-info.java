/** Shared parts of the stand-ins: the HTTP server, announcements, settings and JSON codecs. */
@NullMarked
package io.hawthornlb.standin.support;

import org.jspecify.annotations.NullMarked;

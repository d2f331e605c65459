/**
 * The check of responses by the grammar of HTTP/1.1 (RFC 9112), before any decoder sees their
 * bytes.
 */
@NullMarked
package io.hawthornlb.http;

import org.jspecify.annotations.NullMarked;
